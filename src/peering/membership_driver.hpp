#pragma once

#include "decisions/membership.hpp"
#include "net/event_loop.hpp"
#include "units/result.hpp"
#include "wire/peer_network.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace parsleytrack::peering
{

/// Performs the input and output of a membership over the peer network.
class membership_driver
{
public:
    struct callbacks
    {
        /// The view of the nodes has changed.
        std::function<void()> on_view_changed;
        /// A datagram could not be decoded.
        std::function<void(const endpoint& from, const error&)>
            on_datagram_rejected;
        /// A full exchange of views failed.
        std::function<void(const error&)> on_exchange_failed;
        /// The response to a full exchange could not be decoded. Optional.
        std::function<void(const error&)> on_response_rejected;
    };

    /// \param event_loop Outlives this object, as do the other references.
    /// \param driven The state machine that decides what to do.
    /// \param exchange_timeout Longest wait for the response to an exchange.
    membership_driver(net::event_loop& event_loop, wire::peer_network& network,
                      membership& driven, duration exchange_timeout,
                      callbacks listener);

    /// Executes the commands of the membership. Must be called after each
    /// direct call of the membership.
    void execute_commands();

private:
    void receive(const endpoint& from, std::string_view bytes);
    void handle_exchange_request(
        const std::shared_ptr<wire::peer_exchange>& exchange);
    void finish_exchange(std::int64_t number,
                         const result<std::string>& outcome);
    void execute(const send_packet_command& command);
    void execute(const exchange_views_command& command);
    void execute(const view_changed_command& command);
    void execute(const node_dead_command& command);

    wire::peer_network& peers;
    membership& members;
    duration exchange_timeout;
    callbacks hooks;
    std::map<std::int64_t, std::unique_ptr<wire::peer_call>> exchanges;
    std::int64_t next_exchange_number = 1;
    net::timer tick_timer;
};

} // namespace parsleytrack::peering
