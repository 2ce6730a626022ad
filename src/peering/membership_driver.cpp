#include "peering/membership_driver.hpp"

#include "logging/log.hpp"
#include "peering/membership_conversion.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace parsleytrack::peering
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr std::size_t max_exchanges = 4;

} // namespace

membership_driver::membership_driver(net::event_loop& event_loop,
                                     wire::peer_network& network,
                                     membership& driven,
                                     duration longest_exchange,
                                     callbacks listener)
    : peers(network), members(driven), exchange_timeout(longest_exchange),
      hooks(std::move(listener))
{
    this->peers.on_datagram([this](const endpoint& from, std::string_view bytes)
                            { this->receive(from, bytes); });
    this->peers.on_call(
        wire::message_type::view_exchange,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { this->handle_exchange_request(exchange); });
    this->tick_timer =
        event_loop.call_every(tick_interval,
                              [this]
                              {
                                  this->members.tick(net::event_loop::now());
                                  this->execute_commands();
                              });
}

void membership_driver::receive(const endpoint& from, std::string_view bytes)
{
    const auto packet = decode_packet(bytes);
    if (packet.has_error())
    {
        this->hooks.on_datagram_rejected(from, packet.error());
        return;
    }
    this->members.receive(net::event_loop::now(), from, packet.value());
    this->execute_commands();
}

void membership_driver::handle_exchange_request(
    const std::shared_ptr<wire::peer_exchange>& exchange)
{
    const auto request = decode_view(exchange->request());
    if (request.has_error())
    {
        exchange->fail(request.error());
        return;
    }
    const auto response = this->members.handle_exchange_request(
        net::event_loop::now(), request.value());
    if (response)
    {
        exchange->finish(encode_view(*response));
    }
    else
    {
        exchange->fail(error{error_code::bad_request,
                             "this node belongs to region " +
                                 this->members.own_info().region.str(),
                             ran_state::no,
                             {}});
    }
    this->execute_commands();
}

void membership_driver::finish_exchange(std::int64_t number,
                                        const result<std::string>& outcome)
{
    this->exchanges.erase(number);
    if (outcome.has_error())
    {
        this->hooks.on_exchange_failed(outcome.error());
        return;
    }
    const auto response = decode_view(outcome.value());
    if (response.has_error())
    {
        if (this->hooks.on_response_rejected)
        {
            this->hooks.on_response_rejected(response.error());
        }
        return;
    }
    this->members.handle_exchange_response(net::event_loop::now(),
                                           response.value());
    this->execute_commands();
}

void membership_driver::execute_commands()
{
    const std::vector<membership_command> commands =
        this->members.take_commands();
    // Several simultaneous changes, such as those of a full exchange, cause one
    // notification.
    const bool view_changed = std::any_of(
        commands.begin(), commands.end(),
        [](const membership_command& command)
        { return std::holds_alternative<view_changed_command>(command); });
    if (view_changed)
    {
        this->hooks.on_view_changed();
    }
    for (const membership_command& command : commands)
    {
        std::visit([this](const auto& specific) { this->execute(specific); },
                   command);
    }
}

void membership_driver::execute(const send_packet_command& command)
{
    this->peers.send_datagram(command.target, encode_packet(command.packet));
}

void membership_driver::execute(const exchange_views_command& command)
{
    if (this->exchanges.size() >= max_exchanges)
    {
        return;
    }
    const std::int64_t number = this->next_exchange_number++;
    this->exchanges[number] =
        this->peers.call(command.target, wire::message_type::view_exchange,
                         encode_view(this->members.make_exchange_request()),
                         this->exchange_timeout,
                         {{},
                          [this, number](const result<std::string>& outcome)
                          {
                              this->finish_exchange(number, outcome);
                          }});
}

void membership_driver::execute(const view_changed_command&)
{
    // The listener was notified before the first command was executed.
}

void membership_driver::execute(const node_dead_command& command)
{
    log_event(log_level::warning, "node_dead",
              {{"peer_node", command.node.str()},
               {"address", to_string(command.peer)}});
    this->peers.drop_peer(command.peer);
}

} // namespace parsleytrack::peering
