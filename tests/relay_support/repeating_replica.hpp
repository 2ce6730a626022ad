#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"

#include <functional>
#include <map>
#include <string>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// A replica that writes each response twice: the second copy comes when the
/// next request arrives on the connection, before the response to that one.
class repeating_replica
{
public:
    /// A response, as raw bytes.
    struct reply
    {
        std::string bytes;
        /// Time until it is written. The replica runs the request meanwhile.
        duration run_time = duration::zero();
        /// Whether the replica runs the request.
        bool runs = true;
    };
    /// \param request Id of the request.
    /// \param arrival Number of times that it has arrived, from 1.
    using reply_source =
        std::function<reply(const std::string& request, int arrival)>;

    repeating_replica(net::event_loop& event_loop, reply_source replies);
    ~repeating_replica();
    repeating_replica(const repeating_replica&) = delete;
    repeating_replica& operator=(const repeating_replica&) = delete;

    /// \returns The replica's record in the store, as JSON.
    std::string record(const std::string& service) const;

    /// \returns A response with the header fields of a replica.
    static std::string response(const std::string& status,
                                const std::string& request,
                                const std::string& body);

    /// \returns A response that says that the request was not run.
    ///
    /// \param request Id of the request; empty to leave it out.
    static std::string refusal(const std::string& request);

    /// Number of runs that began, by request id.
    std::map<std::string, int> runs;

    /// \returns The number of requests in progress.
    std::size_t busy_connections() const;

    /// For the callbacks of libevent only.
    void read(bufferevent* link);
    void close(bufferevent* link);

private:
    struct connection
    {
        std::string received;
        /// The last response, of which a copy is still due.
        std::string last_response;
        bool is_busy = false;
        net::timer response_timer;
    };

    void accept(int descriptor);
    /// Takes up the next request, if the last one has its response.
    void serve(bufferevent* link);

    net::event_loop& loop;
    reply_source make_reply;
    std::map<std::string, int> arrivals;
    std::map<bufferevent*, connection> connections;
    loopback_listener listener;
};

} // namespace parsleytrack::relay_support
