#pragma once

#include "key_value/call_budget.hpp"
#include "key_value/call_end.hpp"
#include "key_value/outage_detector.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "units/endpoint.hpp"
#include "units/random_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::key_value::detail
{

/// Sends HTTP calls to the store within its budget, to one address after the
/// other, and notices outages. No callback is called before the function that
/// took it has returned, nor after the caller is destroyed.
class etcd_caller : public std::enable_shared_from_this<etcd_caller>
{
public:
    using end_callback = std::function<void(call_end)>;

    /// A stream of answers, such as a watch.
    struct stream_callbacks
    {
        std::function<void(std::string_view)> on_piece;
        std::function<void(error)> on_end;
    };

    etcd_caller(net::event_loop& event_loop, net::http_client& client,
                std::vector<endpoint> addresses, int calls_per_s,
                std::uint64_t seed);

    /// Sends one call, once.
    void post(const std::string& path, const std::string& body, call_lane lane,
              end_callback callback);

    /// Sends a call whose repetition does no harm, up to three times.
    void post_repeatable(const std::string& path, const std::string& body,
                         call_lane lane, end_callback callback);

    /// Opens a stream once the budget allows it.
    ///
    /// \param idle_timeout The longest silence on the stream.
    /// \returns The stream's number, for close_soon().
    std::uint64_t open_stream(const std::string& path, const std::string& body,
                              duration idle_timeout, stream_callbacks hooks);

    /// Closes a stream once the current callback has returned.
    void close_soon(std::uint64_t number);

    /// Drops all calls and timers; no callback follows.
    void shut_down();

    /// Calls a function after a delay, unless shut_down() comes before.
    void after(duration delay, std::function<void()> callback);

    bool is_reachable() const { return this->outage.is_reachable(); }
    std::uint64_t calls_made() const { return this->sent_calls; }
    random_source& random() { return this->randomness; }

private:
    struct pending_call
    {
        std::string path;
        std::string body;
        end_callback on_end;
        stream_callbacks stream;
        bool is_stream = false;
        bool stream_is_open = false;
        duration idle_timeout = duration::zero();
        std::unique_ptr<net::http_call> link;
    };

    std::uint64_t queue(pending_call call, call_lane lane);
    void start(std::uint64_t number);
    void send(std::uint64_t number, pending_call& call);
    void start_waiting();
    void finish(std::uint64_t number, call_end end);
    void end_of_http(std::uint64_t number, std::size_t address,
                     result<net::http_response> outcome);
    void note_failure(std::size_t address);
    void note_answer();
    void repeat(const std::string& path, const std::string& body,
                call_lane lane, int attempts_left, end_callback callback);
    void wait_for_probe();
    void probe();
    error unavailable(const std::string& why, duration retry_after) const;

    net::event_loop& loop;
    net::http_client& http;
    std::vector<endpoint> addresses;
    std::size_t preferred = 0;
    call_budget budget;
    outage_detector outage;
    random_source randomness;
    std::map<std::uint64_t, pending_call> calls;
    std::map<std::uint64_t, net::timer> timers;
    net::timer budget_timer;
    net::timer probe_timer;
    std::uint64_t next_number = 1;
    std::uint64_t sent_calls = 0;
    bool is_shut_down = false;
};

} // namespace parsleytrack::key_value::detail
