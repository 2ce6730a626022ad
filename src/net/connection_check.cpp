#include "net/connection_check.hpp"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <utility>

namespace parsleytrack::net
{

namespace
{

/// Several round trips within a region.
constexpr duration open_time = std::chrono::milliseconds(20);

} // namespace

void detail::bufferevent_deleter::operator()(bufferevent* link) const
{
    bufferevent_free(link);
}

connection_check::connection_check(event_loop& event_loop,
                                   const endpoint& target,
                                   std::function<void(bool)> on_end)
    : ended_callback(std::move(on_end)),
      link(bufferevent_socket_new(event_loop.base(), -1,
                                  BEV_OPT_CLOSE_ON_FREE |
                                      BEV_OPT_DEFER_CALLBACKS)),
      loop(event_loop)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    const bool is_valid = this->link && inet_pton(AF_INET, target.host.c_str(),
                                                  &address.sin_addr) == 1;
    if (this->link)
    {
        bufferevent_setcb(this->link.get(), nullptr, nullptr, on_event, this);
    }
    if (!is_valid ||
        bufferevent_socket_connect(this->link.get(),
                                   reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address)) != 0)
    {
        this->end_timer = event_loop.call_after(duration::zero(), [this]
                                                { this->finish(false); });
    }
}

void connection_check::on_event(bufferevent*, short what, void* argument)
{
    auto& self = *static_cast<connection_check*>(argument);
    if ((what & BEV_EVENT_CONNECTED) == 0)
    {
        self.finish(false);
        return;
    }
    bufferevent_enable(self.link.get(), EV_READ);
    self.end_timer =
        self.loop.call_after(open_time, [&self] { self.finish(true); });
}

void connection_check::finish(bool opened)
{
    if (const auto callback = std::exchange(this->ended_callback, nullptr))
    {
        callback(opened);
    }
}

} // namespace parsleytrack::net
