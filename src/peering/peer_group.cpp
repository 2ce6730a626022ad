#include "peering/peer_group.hpp"

#include "logging/log.hpp"
#include "peering/group_options.hpp"
#include "peering/membership_conversion.hpp"

#include <chrono>
#include <set>
#include <utility>

namespace parsleytrack::peering
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration exchange_timeout = std::chrono::seconds(1);
constexpr std::size_t max_exchanges = 4;

} // namespace

peer_group::peer_group(net::event_loop& event_loop, wire::peer_network& network,
                       random_source& random_numbers, const node_info& own,
                       std::vector<endpoint> seeds)
    : loop(event_loop), peers(network),
      board(own.id, static_cast<std::uint64_t>(own.incarnation.count())),
      members(own, group_options(), random_numbers, this->board)
{
    this->members.set_seeds(std::move(seeds));
    this->update_living();
    this->peers.on_datagram([this](const endpoint& from, std::string_view bytes)
                            { this->receive(from, bytes); });
    this->peers.on_call(
        wire::message_type::view_exchange,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->answer_exchange(exchange); });
    this->tick_timer =
        this->loop.call_every(tick_interval, [this] { this->tick(); });
}

void peer_group::update_living()
{
    std::set<node_id> before;
    for (const node_info& node : this->alive)
    {
        before.insert(node.id);
    }
    this->alive.clear();
    for (node_info& node : this->members.nodes())
    {
        if (node.state == node_state::alive)
        {
            this->alive.push_back(std::move(node));
        }
    }
    for (const node_info& node : this->alive)
    {
        if (before.erase(node.id) == 0)
        {
            this->log_change("node_alive", node);
        }
    }
    for (const node_info& node : this->members.nodes())
    {
        if (before.contains(node.id))
        {
            this->log_change("node_not_alive", node);
        }
    }
}

void peer_group::log_change(const char* event, const node_info& node) const
{
    log_event(log_level::info, event,
              {{"peer_node", node.id.str()},
               {"address", to_string(node.peer)},
               {"state", std::string(to_string(node.state))},
               {"incarnation", node.incarnation.count()},
               {"living", this->alive.size()}});
}

std::optional<node_info> peer_group::find(const node_id& id) const
{
    for (const node_info& node : this->members.nodes())
    {
        if (node.id == id && node.state != node_state::dead)
        {
            return node;
        }
    }
    return std::nullopt;
}

void peer_group::on_change(std::function<void()> callback)
{
    this->change_callbacks.push_back(std::move(callback));
}

void peer_group::announce_leaving()
{
    this->members.announce_leaving();
    this->carry_out_commands();
}

void peer_group::announce_gone()
{
    this->members.announce_gone();
    this->carry_out_commands();
}

void peer_group::tick()
{
    this->members.tick(net::event_loop::now());
    this->carry_out_commands();
}

void peer_group::receive(const endpoint& from, std::string_view bytes)
{
    const auto packet = decode_packet(bytes);
    if (packet.has_error())
    {
        log_event(
            log_level::warning, "peer_datagram_refused",
            {{"from", to_string(from)}, {"reason", packet.error().message}});
        return;
    }
    this->members.receive(net::event_loop::now(), from, packet.value());
    this->carry_out_commands();
}

void peer_group::answer_exchange(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_view(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    const auto answer =
        this->members.answer_exchange(net::event_loop::now(), request.value());
    if (answer)
    {
        exchange->finish(encode_view(*answer));
    }
    else
    {
        exchange->fail(error{error_code::bad_request,
                             "this node belongs to another region",
                             ran_state::no,
                             {}});
    }
    this->carry_out_commands();
}

void peer_group::finish_exchange(std::int64_t number,
                                 const result<std::string>& outcome)
{
    this->exchanges.erase(number);
    if (outcome.has_error())
    {
        log_event(log_level::debug, "peer_exchange_failed",
                  {{"reason", outcome.error().message}});
        return;
    }
    const auto answer = decode_view(outcome.value());
    if (answer.has_error())
    {
        log_event(log_level::warning, "peer_exchange_refused",
                  {{"reason", answer.error().message}});
        return;
    }
    this->members.finish_exchange(net::event_loop::now(), answer.value());
    this->carry_out_commands();
}

void peer_group::carry_out_commands()
{
    for (const membership_command& command : this->members.take_commands())
    {
        std::visit([this](const auto& specific) { this->carry_out(specific); },
                   command);
    }
}

void peer_group::carry_out(const send_packet_command& command)
{
    this->peers.send_datagram(command.target, encode_packet(command.packet));
}

void peer_group::carry_out(const exchange_views_command& command)
{
    if (this->exchanges.size() >= max_exchanges)
    {
        return;
    }
    const std::int64_t number = this->next_exchange++;
    this->exchanges[number] = this->peers.call(
        command.target, wire::message_type::view_exchange,
        encode_view(this->members.open_exchange()), exchange_timeout,
        {{},
         [this, number](const result<std::string>& outcome)
         {
             this->finish_exchange(number, outcome);
         }});
}

void peer_group::carry_out(const view_changed_command&)
{
    this->update_living();
    for (const auto& callback : this->change_callbacks)
    {
        callback();
    }
}

void peer_group::carry_out(const node_dead_command& command)
{
    log_event(log_level::warning, "node_dead",
              {{"peer_node", command.node.str()},
               {"address", to_string(command.peer)}});
    this->peers.drop_peer(command.peer);
}

} // namespace parsleytrack::peering
