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

/// Passes connections on to another address, and can harm them meanwhile.
class fault_proxy
{
public:
    enum class fault
    {
        none,
        /// Bytes arrive later.
        delayed,
        /// Connections are reset, new ones as well.
        reset,
        /// Nothing arrives in either direction until the fault ends.
        blocked,
        /// Nothing arrives in one direction.
        blocked_to_server,
        blocked_to_client
    };

    /// \param event_loop Outlives this object.
    /// \param target Where connections are passed on to.
    fault_proxy(net::event_loop& event_loop, endpoint target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    const endpoint& address() const { return this->listener.address(); }

    void set_fault(fault next);

    /// Called by the library's callbacks only.

    /// One of the two connections of a caller.
    struct side
    {
        fault_proxy* owner = nullptr;
        bufferevent* link = nullptr;
        side* other = nullptr;
        bool to_server = false;
        bool ended = false;
        /// Bytes that were read here and go to the other side.
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

    bool is_blocked(const side& from) const;
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
