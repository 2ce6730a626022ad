#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"
#include "wire/incoming_connections.hpp"
#include "wire/message_type.hpp"
#include "wire/peer_call.hpp"
#include "wire/peer_exchange.hpp"
#include "wire/peer_lane.hpp"
#include "wire/peer_limits.hpp"

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

/// Calls and datagrams between nodes: Thrift frames over TCP, and datagrams
/// over UDP on the same port number.
class peer_network
{
public:
    /// Handles one call; keeps the exchange until it has responded.
    using call_handler =
        std::function<void(const std::shared_ptr<peer_exchange>&)>;
    /// Handles one datagram; `from` is the sender's address.
    using datagram_handler =
        std::function<void(const endpoint& from, std::string_view bytes)>;

    /// Callbacks for one call.
    struct callbacks
    {
        /// Called with each part of the response except the last. Optional.
        std::function<void(std::string)> on_part;
        /// Called once at the end with the last part or an error. The `ran` of
        /// an error is ran_state::no if the request was not sent, as reported
        /// by the other node if it failed the call, and otherwise
        /// ran_state::unknown.
        std::function<void(result<std::string>)> on_end;
    };

    /// Bytes sent and received, for metrics.
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
    /// \param address The address; port 0 selects a free port.
    /// \returns The port, or error_code::bad_settings.
    result<std::uint16_t> listen(const endpoint& address);

    /// Bounds what others may make this node hold.
    void set_limits(const peer_limits& chosen)
    {
        this->incoming.set_limits(chosen);
    }

    /// Sets the handler for calls of a type, replacing any earlier one.
    void on_call(message_type type, call_handler handler);

    /// \param handler Called for every datagram, replacing any earlier one.
    void on_datagram(datagram_handler handler);

    /// Calls another node. No callback is called before call() has returned.
    ///
    /// \param target The node's peer address.
    /// \param payload The encoded request.
    /// \param timeout Maximum time to wait for each part of the response; zero
    /// means "no limit".
    /// \returns The call; destroying it cancels it.
    [[nodiscard]] std::unique_ptr<peer_call>
    call(const endpoint& target, message_type type, std::string_view payload,
         duration timeout, callbacks hooks);

    /// Sends a datagram; delivery is not guaranteed.
    ///
    /// \param target The node's peer address.
    /// \param bytes At most max_datagram_bytes.
    void send_datagram(const endpoint& target, std::string_view bytes);

    /// Closes the connections to a node that is known to be dead, which fails
    /// all calls to it.
    void drop_peer(const endpoint& target);

    /// \returns Bytes sent and received since the start.
    const traffic& counters() const { return this->traffic_counters; }

    /// Largest datagram that fits one Ethernet frame.
    static constexpr std::size_t max_datagram_bytes = 1400;

    /// For connections only.
    void dispatch(message_type type,
                  const std::shared_ptr<peer_exchange>& exchange);
    void handle_connection_closed(detail::peer_connection& connection);
    detail::incoming_connections& incoming_links() { return this->incoming; }
    net::event_loop& loop() { return this->loop_handle; }
    traffic& mutable_counters() { return this->traffic_counters; }

private:
    std::shared_ptr<detail::peer_connection> connect(const endpoint& target,
                                                     peer_lane lane);
    /// \param host Address of the other end without the port.
    void accept(int descriptor, const std::string& host);
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
    detail::incoming_connections incoming;
    std::unique_ptr<evconnlistener, detail::listener_deleter> listener;
    int datagram_socket = -1;
    event* datagram_event = nullptr;
    traffic traffic_counters;
};

} // namespace parsleytrack::wire
