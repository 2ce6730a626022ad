#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"
#include "wire/message_type.hpp"
#include "wire/peer_call.hpp"
#include "wire/peer_exchange.hpp"
#include "wire/peer_lane.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

struct evconnlistener;
struct event;

namespace parsleytrack::wire
{

namespace detail
{
class peer_connection;

struct listener_deleter
{
    void operator()(evconnlistener* listener) const;
};
} // namespace detail

/// Calls and datagrams between nodes: Thrift frames over TCP, and small
/// packets over UDP on the same port number.
class peer_network
{
public:
    /// Gets one call; keeps the exchange until it has answered.
    using call_handler =
        std::function<void(const std::shared_ptr<peer_exchange>&)>;
    /// Gets one datagram and the address it came from.
    using datagram_handler =
        std::function<void(const endpoint& from, std::string_view bytes)>;

    /// What a caller wants to hear of a call.
    struct callbacks
    {
        /// Each piece of the answer but the last. Optional.
        std::function<void(std::string)> on_part;
        /// The last piece, or why there is none. An error's `ran` is
        /// ran_state::no when the request was not sent, and otherwise what the
        /// other node says of it.
        std::function<void(result<std::string>)> on_end;
    };

    /// Bytes in and out, for metrics.
    struct traffic
    {
        std::uint64_t datagram_bytes_sent = 0;
        std::uint64_t datagram_bytes_received = 0;
        std::uint64_t frame_bytes_sent = 0;
        std::uint64_t frame_bytes_received = 0;
    };

    explicit peer_network(net::event_loop& event_loop);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Opens the TCP and the UDP port.
    ///
    /// \param address The address; port 0 takes a free one.
    /// \returns The port, or error_code::bad_settings.
    result<std::uint16_t> listen(const endpoint& address);

    /// \param type Which calls the handler gets.
    /// \param handler Replaces an earlier one.
    void on_call(message_type type, call_handler handler);

    /// \param handler Gets all datagrams.
    void on_datagram(datagram_handler handler);

    /// Calls another node. No callback is called before call() has returned.
    ///
    /// \param target The node's peer address.
    /// \param type Which request it is.
    /// \param payload The request's bytes.
    /// \param timeout Longest time to wait for each piece of the answer; zero
    /// means "no limit".
    /// \param hooks Whom to tell.
    /// \returns The call; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<peer_call>
    call(const endpoint& target, message_type type, std::string_view payload,
         duration timeout, callbacks hooks);

    /// Sends a datagram; it may be lost.
    ///
    /// \param target The node's peer address.
    /// \param bytes At most max_datagram_bytes.
    void send_datagram(const endpoint& target, std::string_view bytes);

    /// Fails all calls to a node at once; for a node that is known to be dead.
    void drop_peer(const endpoint& target);

    /// \returns Bytes in and out so far.
    const traffic& counters() const { return this->traffic_counters; }

    /// Largest datagram that fits one Ethernet frame.
    static constexpr std::size_t max_datagram_bytes = 1400;

    /// Called by connections only.
    void dispatch(message_type type,
                  const std::shared_ptr<peer_exchange>& exchange);
    void handle_connection_closed(detail::peer_connection& connection);
    net::event_loop& loop() { return this->loop_handle; }
    traffic& mutable_counters() { return this->traffic_counters; }

private:
    std::shared_ptr<detail::peer_connection> connect(const endpoint& target,
                                                     peer_lane lane);
    void accept(int descriptor);
    void read_datagrams();
    result<std::uint16_t> try_listen(const endpoint& address);
    result<std::uint16_t> open_datagram_socket(const endpoint& address);
    void close_datagram_socket();

    net::event_loop& loop_handle;
    std::map<message_type, call_handler> handlers;
    datagram_handler datagram_callback;
    std::map<std::pair<endpoint, peer_lane>,
             std::shared_ptr<detail::peer_connection>>
        outgoing;
    std::map<detail::peer_connection*, std::shared_ptr<detail::peer_connection>>
        incoming;
    std::unique_ptr<evconnlistener, detail::listener_deleter> listener;
    int datagram_socket = -1;
    event* datagram_event = nullptr;
    traffic traffic_counters;
};

} // namespace parsleytrack::wire
