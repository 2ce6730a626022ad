#include "membership/membership_world.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

namespace parsleytrack
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr std::uint64_t datagram_header_bytes = 28;
constexpr std::size_t max_deferred_actions = 500;
constexpr std::uint16_t first_port = 1000;
/// The wall clock in microseconds at the start of a simulation.
constexpr std::int64_t first_clock_us = 1'000'000'000;

std::uint64_t size_of(const view_message& view)
{
    std::uint64_t size = 32;
    for (const member_record& record : view.members)
    {
        size += encoded_size_bound(record);
    }
    for (const board_item& item : view.items)
    {
        size += encoded_size_bound(item);
    }
    for (const board_version& held : view.known)
    {
        size += held.topic.size() + held.node.str().size() + 16;
    }
    return size;
}

} // namespace

node_id membership_world::name_of(int node)
{
    return node_id("entry-" + std::to_string(1000 + node));
}

membership_world::membership_world(std::uint64_t seed,
                                   membership_options chosen)
    : options(chosen), random(seed)
{
}

void membership_world::start(int node, std::uint16_t port)
{
    while (this->count() <= node)
    {
        this->nodes.emplace_back();
        this->nodes.back().port =
            static_cast<std::uint16_t>(first_port + this->count());
    }
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    if (port != 0)
    {
        this->node_by_port.erase(slot.port);
        slot.port = port;
    }
    this->node_by_port[slot.port] = node;
    ++slot.generation;
    slot.frozen = false;
    slot.leaving = false;
    slot.deferred.clear();
    node_info own;
    own.id = name_of(node);
    own.peer = endpoint{"10.0.0.1", slot.port};
    own.http = endpoint{"10.0.0.1", 80};
    own.region = region_name("qc-east");
    own.availability_zone =
        availability_zone_name("qc-east-" + std::to_string(node % 3));
    const std::int64_t clock =
        (this->time + this->clock_error).time_since_epoch().count() +
        first_clock_us;
    own.incarnation = incarnation_number(clock);
    own.process = process_number(++this->processes_started);
    slot.running = std::make_unique<process>(own, this->options, this->random,
                                             static_cast<std::uint64_t>(clock));
    process* running = slot.running.get();
    running->board.set_sender(
        [this, running, node](const std::string& topic, std::uint64_t version,
                              const std::string&)
        {
            this->published[{node, topic}][version] = this->time;
            running->members.publish(topic);
        });
    running->board.subscribe(
        "gate",
        [running](const node_id& from, const std::string&)
        {
            const auto version = running->board.latest("gate").at(from).version;
            std::uint64_t& newest = running->newest_values[from];
            check_invariant(version > newest,
                            "the version of a value must increase");
            newest = version;
        });
    running->members.set_seeds({endpoint{"10.0.0.1", first_port + 1},
                                endpoint{"10.0.0.1", first_port + 2},
                                endpoint{"10.0.0.1", first_port + 3}});
    const std::int64_t generation = slot.generation;
    const duration phase(static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(tick_interval.count())));
    this->schedule(phase,
                   [this, node, generation] { this->tick(node, generation); });
}

void membership_world::kill(int node)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    slot.running.reset();
    ++slot.generation;
}

void membership_world::freeze(int node)
{
    this->nodes[static_cast<std::size_t>(node)].frozen = true;
}

void membership_world::thaw(int node)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    slot.frozen = false;
    // The harder order: the node handles a tick before the packets that arrived
    // while it was frozen.
    if (slot.running)
    {
        slot.running->members.tick(this->time);
        this->execute_commands(node);
    }
    for (const auto& action : std::exchange(slot.deferred, {}))
    {
        action();
    }
}

void membership_world::leave(int node)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    slot.leaving = true;
    slot.running->members.announce_leaving();
    this->execute_commands(node);
}

void membership_world::run_for(duration span)
{
    const time_point end = this->time + span;
    while (!this->events.empty() && this->events.top().when <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->time = next.when;
        next.action();
    }
    this->time = end;
}

void membership_world::publish(int node, const std::string& topic,
                               std::size_t size)
{
    gossip_board& board =
        this->nodes[static_cast<std::size_t>(node)].running->board;
    board.publish(topic, std::string(size, 'x'));
    const auto version = board.latest(topic).at(name_of(node)).version;
    this->published[{node, topic}].try_emplace(version, this->time);
}

void membership_world::schedule(duration after, std::function<void()> action)
{
    this->events.push(
        event{this->time + after, this->next_order++, std::move(action)});
}

void membership_world::run_on_node(int node, std::int64_t generation,
                                   std::function<void()> action)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    if (slot.generation != generation || !slot.running)
    {
        return;
    }
    if (slot.frozen)
    {
        if (slot.deferred.size() < max_deferred_actions)
        {
            slot.deferred.push_back(
                [this, node, generation, action]
                { this->run_on_node(node, generation, action); });
        }
        return;
    }
    this->run_measured(action);
    this->execute_commands(node);
}

void membership_world::run_measured(const std::function<void()>& action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    this->call_time += std::chrono::steady_clock::now() - start;
    ++this->calls;
}

void membership_world::tick(int node, std::int64_t generation)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    if (slot.generation != generation || !slot.running)
    {
        return;
    }
    if (!slot.frozen)
    {
        this->run_measured([this, &slot]
                           { slot.running->members.tick(this->time); });
        this->execute_commands(node);
    }
    this->schedule(tick_interval,
                   [this, node, generation] { this->tick(node, generation); });
}

duration membership_world::draw_delay()
{
    const auto spread = static_cast<std::uint64_t>(this->jitter.count()) + 1;
    return this->delay +
           duration(static_cast<std::int64_t>(this->random() % spread));
}

void membership_world::transmit(int from, const endpoint& target,
                                double chance_of_loss,
                                std::function<void(int)> action)
{
    const auto receiver = this->node_by_port.find(target.port);
    std::uniform_real_distribution<double> chance(0, 1);
    if (receiver == this->node_by_port.end() ||
        chance(this->random) < chance_of_loss)
    {
        return;
    }
    const int to = receiver->second;
    if (this->group_of && this->group_of(from) != this->group_of(to))
    {
        return;
    }
    this->schedule(this->draw_delay(),
                   [this, to, action]
                   {
                       const auto& slot =
                           this->nodes[static_cast<std::size_t>(to)];
                       this->run_on_node(to, slot.generation,
                                         [to, action] { action(to); });
                   });
}

void membership_world::execute_commands(int node)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    const endpoint from{"10.0.0.1", slot.port};
    for (const auto& command : slot.running->members.take_commands())
    {
        if (const auto* sent = std::get_if<send_packet_command>(&command))
        {
            const std::size_t size = encoded_size_bound(sent->packet);
            check_invariant(size <= this->options.packet_bytes,
                            "a datagram must not exceed packet_bytes");
            ++this->totals.datagrams;
            this->totals.datagram_bytes += size + datagram_header_bytes;
            const membership_packet packet = sent->packet;
            this->transmit(node, sent->target, this->loss,
                           [this, from, packet](int to)
                           {
                               this->nodes[static_cast<std::size_t>(to)]
                                   .running->members.receive(this->time, from,
                                                             packet);
                           });
        }
        else if (const auto* views =
                     std::get_if<exchange_views_command>(&command))
        {
            this->exchange(node, views->target);
        }
        else if (std::holds_alternative<view_changed_command>(command))
        {
            this->check_view(node);
        }
    }
}

void membership_world::exchange(int node, const endpoint& target)
{
    node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    const view_message request = slot.running->members.make_exchange_request();
    const endpoint from{"10.0.0.1", slot.port};
    ++this->totals.exchanges;
    this->totals.exchange_bytes += size_of(request);
    this->transmit(
        node, target, 0,
        [this, request, from](int to)
        {
            process& other = *this->nodes[static_cast<std::size_t>(to)].running;
            const auto response =
                other.members.handle_exchange_request(this->time, request);
            if (!response)
            {
                return;
            }
            this->totals.exchange_bytes += size_of(*response);
            this->transmit(to, from, 0,
                           [this, response](int back)
                           {
                               this->nodes[static_cast<std::size_t>(back)]
                                   .running->members.handle_exchange_response(
                                       this->time, *response);
                           });
        });
}

void membership_world::check_view(int node)
{
    process& running = *this->nodes[static_cast<std::size_t>(node)].running;
    std::map<node_id, node_info> now_seen;
    for (const node_info& info : running.members.nodes())
    {
        now_seen[info.id] = info;
        const auto before = running.seen.find(info.id);
        if (before == running.seen.end())
        {
            continue;
        }
        const node_info& old = before->second;
        check_invariant(info.incarnation >= old.incarnation,
                        "an incarnation in a view must not decrease");
        const bool back = old.state == node_state::leaving &&
                          info.state == node_state::alive &&
                          info.incarnation == old.incarnation;
        check_invariant(!back, "a leaving node must not become alive "
                               "again within its incarnation");
        const int subject = std::stoi(info.id.str().substr(6)) - 1000;
        if (old.state != info.state && this->is_running(subject))
        {
            this->false_deaths += info.state == node_state::dead ? 1 : 0;
            this->false_suspicions += info.state == node_state::suspect ? 1 : 0;
        }
    }
    running.seen = std::move(now_seen);
}

} // namespace parsleytrack
