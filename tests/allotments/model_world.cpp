#include "allotments/model_world.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace parsleytrack::test
{

namespace
{

using std::chrono::milliseconds;
using namespace allotments;

constexpr duration tick_interval = milliseconds(100);
/// As peering::group_options(): loss is noticed by probes, return by gossip.
constexpr int min_loss_ms = 700;
constexpr int max_loss_ms = 1600;
constexpr int min_return_ms = 100;
constexpr int max_return_ms = 700;
constexpr std::size_t seeds = 3;

std::string node_name(std::size_t node)
{
    return "node-" + std::to_string(node);
}

} // namespace

model_world::model_world(std::size_t node_count, std::uint64_t seed)
    : random_numbers(seed), nodes(node_count)
{
    for (std::size_t node = 0; node < node_count; ++node)
    {
        this->start(node);
    }
}

void model_world::add_workspace(const std::string& name, double rate,
                                double burst, double demand,
                                std::size_t entry_nodes)
{
    model_workspace& added = this->workspaces.emplace_back();
    added.name = workspace_name(name);
    added.limit = {request_rate(rate), burst};
    added.demand = demand;
    added.entry_nodes = entry_nodes;
    this->move_callers(this->workspaces.size() - 1);
    this->schedule_arrival(this->workspaces.size() - 1);
}

void model_world::run_for(duration span)
{
    const time_point end = this->now + span;
    while (!this->events.empty() && this->events.top().at <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        next.action();
    }
    this->now = end;
}

void model_world::at(time_point when, std::function<void()> action)
{
    this->events.push(event{when, this->next_event++, std::move(action)});
}

void model_world::at_node(std::size_t node, time_point when,
                          std::function<void()> action)
{
    const std::int64_t process = this->nodes[node].process;
    this->at(when,
             [this, node, process, action = std::move(action)]
             {
                 model_node& state = this->nodes[node];
                 if (state.process != process || !state.decisions)
                 {
                     return;
                 }
                 if (state.paused)
                 {
                     state.held.push_back(action);
                     return;
                 }
                 action();
             });
}

duration model_world::draw(int from_ms, int to_ms)
{
    return milliseconds(std::uniform_int_distribution<int>(from_ms, to_ms)(
        this->random_numbers));
}

bool model_world::reaches(std::size_t from, std::size_t to) const
{
    return this->nodes[from].part == this->nodes[to].part;
}

bool model_world::loses_message()
{
    return static_cast<int>(this->random_numbers() % 100) <
           this->lost_messages_percent;
}

void model_world::set_network(int lost_percent, int max_delay_ms)
{
    this->lost_messages_percent = lost_percent;
    this->max_message_ms = max_delay_ms;
}

node_info model_world::info_of(std::size_t node) const
{
    node_info info;
    info.id = node_id(node_name(node));
    info.peer = endpoint{"127.0.0.1", static_cast<std::uint16_t>(node + 1)};
    return info;
}

void model_world::set_part(std::size_t node, int part)
{
    this->nodes[node].part = part;
}

void model_world::kill(std::size_t node)
{
    this->nodes[node].decisions.reset();
    this->nodes[node].claims.clear();
    this->nodes[node].calls.clear();
    this->nodes[node].held.clear();
}

void model_world::start(std::size_t node)
{
    model_node& state = this->nodes[node];
    state.process = this->next_process++;
    state.paused = false;
    state.seen.assign(this->nodes.size(), seen_node{});
    state.decisions = std::make_unique<node_allotments>(
        info_of(node).id, this->settings, this->random_numbers, this->now);
    this->update_view(node);
    this->at_node(node, this->now, [this, node] { this->tick(node); });
}

void model_world::pause(std::size_t node, duration span)
{
    this->nodes[node].paused = true;
    const std::int64_t process = this->nodes[node].process;
    this->at(this->now + span,
             [this, node, process]
             {
                 model_node& state = this->nodes[node];
                 if (state.process != process || !state.decisions)
                 {
                     return;
                 }
                 state.paused = false;
                 for (const auto& action : std::exchange(state.held, {}))
                 {
                     action();
                 }
             });
}

void model_world::move_callers(std::size_t workspace)
{
    model_workspace& moved = this->workspaces[workspace];
    std::vector<std::size_t> all(this->nodes.size());
    for (std::size_t node = 0; node < all.size(); ++node)
    {
        all[node] = node;
    }
    std::shuffle(all.begin(), all.end(), this->random_numbers);
    all.resize(std::min(all.size(), moved.entry_nodes));
    moved.entries = all;
}

std::size_t model_world::owner_of(std::size_t workspace) const
{
    std::vector<std::string> names;
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
    {
        names.push_back(node_name(node));
    }
    return rendezvous_rank(names, this->workspaces[workspace].name.str(), 1)
        .front();
}

void model_world::tick(std::size_t node)
{
    this->update_view(node);
    this->nodes[node].decisions->tick(this->now);
    this->run_commands(node);
    this->at_node(node, this->now + tick_interval,
                  [this, node] { this->tick(node); });
}

void model_world::see(std::size_t observer, std::size_t other)
{
    seen_node& seen = this->nodes[observer].seen[other];
    const model_node& actual = this->nodes[other];
    const bool is_alive =
        actual.decisions && !actual.paused && this->reaches(observer, other);
    const bool is_known =
        seen.alive == is_alive && (!is_alive || seen.process == actual.process);
    if (is_known)
    {
        seen.change_pending = false;
        return;
    }
    if (!seen.change_pending)
    {
        seen.change_pending = true;
        seen.change_at =
            this->now + (is_alive ? this->draw(min_return_ms, max_return_ms)
                                  : this->draw(min_loss_ms, max_loss_ms));
    }
    if (this->now >= seen.change_at)
    {
        seen.change_pending = false;
        seen.alive = is_alive;
        seen.known = seen.known || is_alive;
        seen.process = actual.process;
    }
}

void model_world::update_view(std::size_t node)
{
    model_node& state = this->nodes[node];
    std::vector<node_info> live;
    std::size_t lost = 0;
    for (std::size_t other = 0; other < this->nodes.size(); ++other)
    {
        if (other == node)
        {
            node_info own = info_of(node);
            own.process = process_number(state.process);
            live.push_back(own);
            continue;
        }
        this->see(node, other);
        const seen_node& seen = state.seen[other];
        if (seen.alive)
        {
            node_info info = info_of(other);
            info.process = process_number(seen.process);
            live.push_back(info);
            continue;
        }
        lost += seen.known || other < seeds ? 1 : 0;
    }
    state.decisions->update_view(live, lost, this->now);
}

void model_world::send(std::size_t node, const send_command& command)
{
    const std::size_t owner = command.owner.port - 1U;
    const lease_call_number call = command.call;
    this->nodes[node].calls.insert(call);
    const auto finish = [this, node, call](const lease_reply* reply)
    {
        if (this->nodes[node].calls.erase(call) == 0)
        {
            return;
        }
        if (reply != nullptr)
        {
            this->nodes[node].decisions->handle_reply(call, *reply, this->now);
        }
        else
        {
            this->nodes[node].decisions->handle_failure(call, this->now);
        }
        this->run_commands(node);
    };
    this->at_node(node, this->now + node_allotments::reply_timeout,
                  [finish] { finish(nullptr); });
    const std::int64_t process = this->nodes[node].process;
    if (this->loses_message())
    {
        return;
    }
    this->at_node(
        owner, this->now + this->draw(1, this->max_message_ms),
        [this, node, owner, process, finish, order = command.order]
        {
            if (!this->reaches(node, owner))
            {
                return;
            }
            const lease_reply reply =
                this->nodes[owner].decisions->handle_order(order, this->now);
            this->run_commands(owner);
            if (this->nodes[node].process != process || this->loses_message())
            {
                return;
            }
            this->at_node(node, this->now + this->draw(1, this->max_message_ms),
                          [finish, reply] { finish(&reply); });
        });
}

} // namespace parsleytrack::test
