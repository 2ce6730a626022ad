#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"
#include "units/endpoint.hpp"

#include <deque>
#include <list>
#include <memory>
#include <string>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// Forwards connections to another address and can inject network faults.
class fault_proxy
{
public:
    enum class fault
    {
        none,
        /// Bytes are forwarded after a delay.
        delayed,
        /// Existing and new connections are reset.
        reset,
        /// No bytes are forwarded in either direction until the fault ends.
        blocked,
        /// As blocked, and no packet is acknowledged, so that new connections
        /// hang, as behind a partition.
        unreachable,
        /// No bytes are forwarded in one direction.
        blocked_to_server,
        blocked_to_client,
        /// The last response of a connection comes a second time when the next
        /// request is sent on it.
        repeating
    };

    /// \param event_loop Outlives this object.
    /// \param target The address that connections are forwarded to.
    fault_proxy(net::event_loop& event_loop, endpoint target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    const endpoint& address() const { return this->listener.address(); }

    void set_fault(fault next);

    /// Makes the open connections silent for good, as when a device on the path
    /// forgets them: no byte is forwarded, and the callers' packets are not
    /// acknowledged. New connections work.
    void silence_open_connections();

    /// For the callbacks of libevent only.

    /// One of the two connections that make up a forwarded connection.
    struct side
    {
        fault_proxy* owner = nullptr;
        bufferevent* link = nullptr;
        side* other = nullptr;
        bool to_server = false;
        bool ended = false;
        bool silent = false;
        /// What the server has sent since the last request, while responses
        /// are repeated.
        std::string last_response;
        /// Bytes read here that await forwarding to the other side, each with
        /// the time from which they may be sent.
        std::deque<std::pair<time_point, std::string>> pending;
    };
    void read(side& from);
    void end(side& from);

private:
    void accept(int descriptor);
    struct pair
    {
        side client;
        side server;
    };

    void repeat_response(side& from, const std::string& bytes);
    bool is_blocked(const side& from) const;
    void set_dropping(bool dropping);
    void flush();
    void flush(side& from);
    void reset(pair& connection);

    net::event_loop& loop;
    endpoint target;
    loopback_listener listener;
    std::list<std::unique_ptr<pair>> connections;
    fault current_fault = fault::none;
    net::timer flush_timer;
};

} // namespace parsleytrack::relay_support
