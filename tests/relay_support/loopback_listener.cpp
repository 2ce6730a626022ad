#include "relay_support/loopback_listener.hpp"

#include "net/bound_port.hpp"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace parsleytrack::relay_support
{

void detail::listener_deleter::operator()(evconnlistener* listener) const
{
    evconnlistener_free(listener);
}

loopback_listener::loopback_listener(net::event_loop& loop,
                                     std::function<void(int)> callback)
    : on_accept(std::move(callback))
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->listener.reset(evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
           void* argument)
        { static_cast<loopback_listener*>(argument)->on_accept(descriptor); },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&local),
        sizeof(local)));
    this->bound_address.port =
        net::bound_port(evconnlistener_get_fd(this->listener.get()));
}

int loopback_listener::descriptor() const
{
    return evconnlistener_get_fd(this->listener.get());
}

} // namespace parsleytrack::relay_support
