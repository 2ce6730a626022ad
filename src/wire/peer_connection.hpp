#pragma once

#include "net/timer.hpp"
#include "wire/peer_network.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace parsleytrack::wire
{

class frame;

namespace detail
{

struct bufferevent_deleter
{
    void operator()(bufferevent* link) const;
};

/// One TCP connection between two nodes that multiplexes calls.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// \param network The owner.
    /// \param descriptor An accepted socket, or -1 if connect() will follow.
    peer_connection(peer_network& network, int descriptor);

    /// Starts to connect; frames are buffered until the connection is open.
    void connect(const endpoint& target);

    /// Sends a request; see peer_network::call().
    ///
    /// \returns The call's id.
    std::int64_t open_call(message_type type, std::string_view payload,
                           duration timeout, peer_network::callbacks hooks);

    /// Removes a call and sends a cancel frame.
    void cancel_call(std::int64_t call_id);

    /// Writes one frame.
    void send(const frame& message);

    /// Closes the connection, fails its calls and cancels its exchanges.
    void close(const std::string& why);

    /// Removes an incoming call whose response is complete.
    void remove_exchange(std::int64_t call_id);

    /// \returns Whether a call of the other end has not been answered.
    bool has_open_exchange() const { return !this->exchanges.empty(); }

    /// \returns Bytes that are buffered and not yet sent.
    std::size_t pending_output_bytes() const;

private:
    struct pending_call
    {
        peer_network::callbacks hooks;
        duration timeout = duration::zero();
        net::timer timer;
    };

    void handle_input();
    void handle_event(short events);
    void handle_frame(frame message);
    void open_exchange(frame message);
    void finish_call(std::int64_t call_id, result<std::string> outcome);
    void restart_timer(std::int64_t call_id, pending_call& call);

    peer_network& network;
    std::unique_ptr<bufferevent, bufferevent_deleter> link;
    std::map<std::int64_t, pending_call> calls;
    std::map<std::int64_t, std::shared_ptr<peer_exchange>> exchanges;
    std::int64_t next_call_id = 1;
    std::string peer_address;
    /// Bytes received of a message that has not arrived as a whole.
    std::size_t unfinished_input = 0;
    bool connected = false;
    bool closed = false;
};

} // namespace detail

} // namespace parsleytrack::wire
