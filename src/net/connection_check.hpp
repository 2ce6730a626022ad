#pragma once

#include "net/event_loop.hpp"
#include "units/endpoint.hpp"

#include <functional>
#include <memory>

struct bufferevent;

namespace parsleytrack::net
{

namespace detail
{
struct bufferevent_deleter
{
    void operator()(bufferevent* link) const;
};
} // namespace detail

/// Checks whether a TCP connection to a server opens and stays open for a
/// moment; devices on a broken path may accept connections and reset them.
/// Destroying it closes the connection; no callback is called any more.
class connection_check
{
public:
    /// \param event_loop Outlives this object.
    /// \param on_end Called once with whether the connection has opened, never
    /// from the constructor; must not destroy this object. Not called while the
    /// server is silent.
    connection_check(event_loop& event_loop, const endpoint& target,
                     std::function<void(bool opened)> on_end);
    ~connection_check() = default;
    connection_check(const connection_check&) = delete;
    connection_check& operator=(const connection_check&) = delete;

private:
    static void on_event(bufferevent* link, short what, void* argument);
    void finish(bool opened);

    std::function<void(bool)> ended_callback;
    std::unique_ptr<bufferevent, detail::bufferevent_deleter> link;
    event_loop& loop;
    timer end_timer;
};

} // namespace parsleytrack::net
