#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"

#include <functional>
#include <memory>

struct evconnlistener;

namespace parsleytrack::relay_support
{

namespace detail
{
struct listener_deleter
{
    void operator()(evconnlistener* listener) const;
};
} // namespace detail

/// Accepts connections on a free port of the loopback interface.
class loopback_listener
{
public:
    /// \param loop Outlives this object.
    /// \param callback Receives the socket of each connection and takes
    /// ownership of it.
    loopback_listener(net::event_loop& loop, std::function<void(int)> callback);

    const endpoint& address() const { return this->bound_address; }

    /// \returns The listening socket.
    int descriptor() const;

private:
    std::function<void(int)> on_accept;
    std::unique_ptr<evconnlistener, detail::listener_deleter> listener;
    endpoint bound_address{"127.0.0.1", 0};
};

} // namespace parsleytrack::relay_support
