#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// A replica that writes given bytes at given times and then closes or resets
/// the connection, or leaves it open. It may do so before it has read the body
/// of the request.
class scripted_replica
{
public:
    enum class ending
    {
        open,
        closed,
        /// Nothing more is written, but the connection is not closed.
        half_closed,
        reset
    };
    /// What is read before the script begins.
    enum class reading
    {
        request,
        /// The head; of the rest, only what comes with it.
        head
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

    scripted_replica(net::event_loop& event_loop, script_source scripts,
                     reading chosen = reading::request);
    ~scripted_replica();
    scripted_replica(const scripted_replica&) = delete;
    scripted_replica& operator=(const scripted_replica&) = delete;

    /// \returns The replica's record in the store, as JSON.
    std::string record(const std::string& service) const;

    /// \returns The number of connections that nobody has closed yet.
    std::size_t open_connections() const { return this->connections.size(); }

    /// \returns The number of requests for which a script has begun.
    int started() const { return this->scripts_started; }

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
    /// \returns What the script is chosen by; absent while more is to be read.
    std::optional<std::string> take(connection& state) const;
    void go_on(bufferevent* link);
    void finish(bufferevent* link);

    net::event_loop& loop;
    script_source make_script;
    reading extent;
    int scripts_started = 0;
    std::map<bufferevent*, connection> connections;
    loopback_listener listener;
};

} // namespace parsleytrack::relay_support
