#pragma once

#include "net/event_loop.hpp"
#include "relay_support/loopback_listener.hpp"

#include <map>
#include <set>
#include <string>

struct bufferevent;

namespace parsleytrack::relay_support
{

/// A replica that violates the protocol. It writes responses as raw bytes, so
/// that it can send what an HTTP server would not.
class raw_replica
{
public:
    enum class fault
    {
        /// Responds as it should.
        none,
        /// Sends after each response a second one, for the previous request.
        extra_response,
        /// Starts an event and never ends it.
        endless_event,
        /// Starts a response head and never ends it.
        endless_head,
        /// Announces a chunk of four gigabytes and sends it.
        endless_chunk,
        /// Sends numbered events without end.
        endless_events,
        /// Sends comments of an event stream without end.
        endless_comments,
        /// Sends the body of an error response without end.
        endless_error,
        /// Ends a chunked stream and sends trailer fields without end.
        endless_trailer,
        /// Sends interim responses without end.
        endless_interim,
        /// Sends a chunked body without end, ten bytes a second.
        slow_endless_body,
        /// Sends a byte of an event now and then and never ends it.
        trickle,
        /// Resets the connection after reading the request.
        reset,
        /// Sends a whole stream that has no length and ends with the
        /// connection.
        unframed_stream,
        /// The same, but the connection ends inside an event.
        unframed_broken_stream
    };

    raw_replica(net::event_loop& event_loop, std::string replica_name,
                fault chosen_fault);
    ~raw_replica();
    raw_replica(const raw_replica&) = delete;
    raw_replica& operator=(const raw_replica&) = delete;

    /// \returns The replica's record in the store, as JSON.
    std::string record(const std::string& service) const;

    const std::string& name() const { return this->id; }

    /// Changes how it responds from now on.
    void set_fault(fault chosen)
    {
        this->trickle_timer.cancel();
        this->behaviour = chosen;
    }

    /// Number of runs by request id.
    std::map<std::string, int> runs;

    /// For the callbacks of libevent only.
    void read(bufferevent* link);
    void close(bufferevent* link);
    void write_more(bufferevent* link);

private:
    void accept(int descriptor);
    void respond(bufferevent* link, const std::string& request);
    /// Sends bytes on all connections, again and again.
    void repeat(const std::string& bytes, duration interval);
    /// Sends more of each endless response.
    void send_pieces();
    /// \param event Number of the next event.
    /// \returns The next bytes of an endless response.
    std::string next_piece(int& event) const;

    net::event_loop& loop;
    std::string id;
    fault behaviour;
    loopback_listener listener;
    std::map<bufferevent*, std::string> connections;
    /// Connections that are closed once their response is written.
    std::set<bufferevent*> ending;
    std::string previous_request = "0";
    net::timer trickle_timer;
    /// Connections that get an endless response, and their next event.
    std::map<bufferevent*, int> endless;
};

} // namespace parsleytrack::relay_support
