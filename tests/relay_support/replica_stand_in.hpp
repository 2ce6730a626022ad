#pragma once

#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "net/http_server.hpp"
#include "relay_support/held_port.hpp"
#include "units/endpoint.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace parsleytrack::relay_support
{

/// Stands in for a replica: responds to requests under "/plain/" at once, and
/// streams numbered events for other paths and for items of jobs.
class replica_stand_in
{
public:
    enum class fault
    {
        none,
        /// Rejects requests and states that it did not run them.
        full,
        /// Aborts each stream after event 3, in the middle of the next event.
        truncating,
        /// Responds with status 500.
        failing,
        /// Responds with status 500 to the first run of each request.
        failing_once,
        /// Responds with status 500 to every other run, from the first.
        failing_by_turns
    };

    replica_stand_in(net::event_loop& event_loop, std::string replica_name);

    /// \returns The replica's record in the store, as JSON.
    std::string record(const std::string& service,
                       const std::string& state = "ready") const;

    /// \returns The address on which the replica listens, whatever address it
    /// advertises.
    const endpoint& listen_address() const { return this->address; }

    /// Makes record() describe another process of the replica, which accepts
    /// requests.
    void restart();

    /// Makes record() describe another replica, with another id and another
    /// software version, which accepts requests.
    void replace();

    /// Refuses connections until restart() is called, as the port of a process
    /// that has ended does, and closes open ones at their next request.
    void stop();

    /// Sets the address that record() contains.
    void advertise(const endpoint& advertised)
    {
        this->advertised_address = advertised;
    }

    /// \returns The address that record() contains.
    const endpoint& advertised() const { return this->advertised_address; }

    /// \returns The number of streams in progress.
    std::size_t open_streams() const { return this->streams.size(); }

    const std::string& name() const { return this->id; }

    /// Default number of events per stream.
    static constexpr int stream_events = 12;

    fault behaviour = fault::none;
    /// Version of the replica's software.
    std::string version = "v1";
    /// Version of the model's weights; requests that ask for another one are
    /// refused with status 421.
    std::string weights = "1";
    /// Header fields that each response gets in addition.
    net::http_header_list extra_headers;
    /// Whether streams pause.
    bool is_silent = false;
    /// Number of events after which a stream ends.
    int event_count = stream_events;
    /// Interval between the events of streams that start from now on.
    duration event_interval = std::chrono::milliseconds(5);
    /// For each run of a streamed request, by request id, the event after which
    /// it resumed; 0 for a run from the start.
    std::map<std::string, std::vector<int>> resumed_after;
    /// The events sent, and those after which runs went on: request, number of
    /// the event and version.
    std::set<std::tuple<std::string, int, std::string>> sent_events;
    std::set<std::tuple<std::string, int, std::string>> resumptions;
    /// Remaining time in milliseconds that each request carried, and its time
    /// of arrival, by request id.
    std::map<std::string, std::pair<int, time_point>> received_deadlines;
    /// Header fields of the last run of each request, by request id.
    std::map<std::string, net::http_header_list> received_headers;
    /// Number of runs by request id.
    std::map<std::string, int> runs;
    /// Number of responses with status 500 by request id.
    std::map<std::string, int> failures;
    /// Number of runs of all requests.
    int run_count = 0;
    /// When each request arrived, including those that were not run.
    std::vector<time_point> arrivals;
    /// Called with the header fields of each request that arrives, before
    /// anything is decided. Optional.
    std::function<void(const net::http_header_list&)> on_arrival;
    /// Called with the id and the header fields of each run. Optional.
    std::function<void(const std::string&, const net::http_header_list&)>
        on_run;
    /// A part of a prompt under which the replica crashes as it begins to
    /// answer: it closes all connections. Empty for none.
    std::string crashing_part;
    /// A path whose requests do the same if they have the crashing body.
    std::string crashing_path;
    std::string crashing_body;
    /// Events that it sends before the crash.
    int events_before_crash = 0;
    /// Time from the start of a run to the crash.
    static constexpr duration crash_delay = std::chrono::milliseconds(30);
    /// Called after a crash. Optional.
    std::function<void()> on_crash;
    int crashes = 0;

private:
    struct stream
    {
        std::shared_ptr<net::http_exchange> exchange;
        int next = 1;
        std::string request;
        std::string version;
        net::timer event_timer;
    };

    void handle_request(const std::shared_ptr<net::http_exchange>& exchange,
                        const std::string& body);
    /// \returns Whether the request makes the replica crash.
    bool is_crashing(const net::http_request_head& head,
                     const std::string& body) const;
    void start_stream(const std::shared_ptr<net::http_exchange>& exchange,
                      const net::http_header_list& headers);
    void crash();
    void send_next_event(std::uint64_t number);

    net::event_loop& loop;
    std::string id;
    int started = 1;
    net::http_server server;
    endpoint address{"127.0.0.1", 0};
    endpoint advertised_address;
    /// Present while the replica is stopped.
    std::optional<held_port> refused_port;
    std::map<std::uint64_t, stream> streams;
    std::uint64_t next_stream = 1;
    net::timer crash_timer;
};

} // namespace parsleytrack::relay_support
