#pragma once

#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "net/http_server.hpp"
#include "units/endpoint.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::relay_support
{

/// A replica: answers plain requests at once, and streams numbered events for
/// paths that begin with "/stream/" and for items of jobs.
class replica_stand_in
{
public:
    enum class fault
    {
        none,
        /// Says that it did not run the request.
        full,
        /// Breaks a stream off after its third event.
        truncating,
        /// Answers items with 500.
        failing
    };

    replica_stand_in(net::event_loop& event_loop, std::string replica_name);

    /// \returns What it writes of itself to the store.
    std::string record(const std::string& service,
                       const std::string& state = "ready") const;

    /// \returns Where it listens.
    const endpoint& listen_address() const { return this->address; }

    /// Names another address in what it writes of itself.
    void advertise(const endpoint& advertised)
    {
        this->advertised_address = advertised;
    }

    /// \returns Streams that are under way.
    std::size_t open_streams() const { return this->streams.size(); }

    const std::string& name() const { return this->id; }

    /// Events of each stream.
    static constexpr int stream_events = 12;

    fault behaviour = fault::none;
    /// Events of the streams that begin from now on.
    int event_count = stream_events;
    /// Time between two events.
    duration event_interval = std::chrono::milliseconds(5);
    /// Events after which each request was gone on with; 0 from its start.
    std::map<std::string, std::vector<int>> resumed_after;
    /// Milliseconds that each request had left, as it was told, and when it
    /// came.
    std::map<std::string, std::pair<int, time_point>> received_deadlines;
    /// How often each request was run.
    std::map<std::string, int> runs;

private:
    struct stream
    {
        std::shared_ptr<net::http_exchange> exchange;
        int next = 1;
        net::timer event_timer;
    };

    void handle_request(const std::shared_ptr<net::http_exchange>& exchange);
    void start_stream(const std::shared_ptr<net::http_exchange>& exchange,
                      const net::http_header_list& headers);
    void send_next_event(std::uint64_t number);

    net::event_loop& loop;
    std::string id;
    net::http_server server;
    endpoint address{"127.0.0.1", 0};
    endpoint advertised_address;
    std::map<std::uint64_t, stream> streams;
    std::uint64_t next_stream = 1;
};

} // namespace parsleytrack::relay_support
