#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"

#include <map>
#include <string>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// A replica that does not keep to the protocol. It writes its answers as
/// bytes, so that it can send what a server would not.
class raw_replica
{
public:
    enum class fault
    {
        /// Sends one more answer, of the request before, after each answer.
        extra_response,
        /// Begins an event and goes on with it for ever.
        endless_event,
        /// Reads the request and resets the connection.
        reset
    };

    raw_replica(net::event_loop& event_loop, std::string replica_name,
                fault chosen_fault);
    ~raw_replica();
    raw_replica(const raw_replica&) = delete;
    raw_replica& operator=(const raw_replica&) = delete;

    /// \returns What it writes of itself to the store.
    std::string record(const std::string& service) const;

    const std::string& name() const { return this->id; }

    /// How often each request was run.
    std::map<std::string, int> runs;

    /// Called by the library's callbacks only.
    void read(bufferevent* link);
    void close(bufferevent* link);
    void write_more(bufferevent* link);

private:
    void accept(int descriptor);
    void respond(bufferevent* link, const std::string& request);

    net::event_loop& loop;
    std::string id;
    fault behaviour;
    loopback_listener listener;
    std::map<bufferevent*, std::string> connections;
    std::string previous_request = "0";
};

} // namespace parsleytrack::relay_support
