#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// A replica that writes given bytes at given times and then closes or resets
/// the connection, or leaves it open.
class scripted_replica
{
public:
    enum class ending
    {
        open,
        closed,
        reset
    };
    struct step
    {
        duration pause = duration::zero();
        std::string bytes;
    };
    struct script
    {
        std::vector<step> steps;
        ending end = ending::open;
    };
    /// \param request The request, head and body.
    using script_source = std::function<script(const std::string& request)>;

    scripted_replica(net::event_loop& event_loop, script_source scripts);
    ~scripted_replica();
    scripted_replica(const scripted_replica&) = delete;
    scripted_replica& operator=(const scripted_replica&) = delete;

    /// \returns The replica's record in the store, as JSON.
    std::string record(const std::string& service) const;

    /// \returns The number of connections that nobody has closed yet.
    std::size_t open_connections() const { return this->connections.size(); }

    /// For the callbacks of libevent only.
    void read(bufferevent* link);
    void close(bufferevent* link);
    void handle_written(bufferevent* link);

private:
    struct connection
    {
        std::string received;
        script current;
        std::size_t next_step = 0;
        bool is_busy = false;
        net::timer step_timer;
    };

    void accept(int descriptor);
    void go_on(bufferevent* link);
    void finish(bufferevent* link);

    net::event_loop& loop;
    script_source make_script;
    std::map<bufferevent*, connection> connections;
    loopback_listener listener;
};

} // namespace parsleytrack::relay_support
