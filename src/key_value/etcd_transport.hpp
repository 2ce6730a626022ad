#pragma once

#include "key_value/call_outcome.hpp"
#include "key_value/call_rate_limiter.hpp"
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

/// Sends HTTP calls to the store within a rate limit, switches to the next
/// address after a failure, and detects outages. No callback runs before the
/// function that it was passed to has returned, nor after the transport was
/// shut down or destroyed.
class etcd_transport : public std::enable_shared_from_this<etcd_transport>
{
public:
    using outcome_callback = std::function<void(call_outcome)>;

    /// Callbacks of a streamed response, such as that of a watch.
    struct stream_callbacks
    {
        std::function<void(std::string_view)> on_piece;
        std::function<void(error)> on_end;
    };

    etcd_transport(net::event_loop& event_loop, net::http_client& client,
                   std::vector<endpoint> addresses, int calls_per_s,
                   std::uint64_t seed);

    /// Sends a call without retries.
    void post(const std::string& path, const std::string& body,
              call_priority priority, outcome_callback callback);

    /// Sends an idempotent call, with up to three retries.
    void post_idempotent(const std::string& path, const std::string& body,
                         call_priority priority, outcome_callback callback);

    /// Opens a stream once the rate limit allows it.
    ///
    /// \param idle_timeout The stream is closed after this long without data.
    /// \returns The stream's number, for close_stream_later().
    std::uint64_t open_stream(const std::string& path, const std::string& body,
                              duration idle_timeout,
                              stream_callbacks callbacks);

    /// Closes a stream once the current callback has returned.
    void close_stream_later(std::uint64_t number);

    /// Cancels all calls and timers; no callback runs afterwards.
    void shut_down();

    /// Calls a function after a delay, unless shut_down() is called first.
    void call_after(duration delay, std::function<void()> callback);

    bool is_reachable() const { return this->outage.is_reachable(); }
    std::uint64_t calls_made() const { return this->sent_calls; }
    random_source& random() { return this->randomness; }

private:
    struct pending_call
    {
        std::string path;
        std::string body;
        outcome_callback on_end;
        stream_callbacks stream;
        bool is_stream = false;
        bool stream_is_open = false;
        duration idle_timeout = duration::zero();
        std::unique_ptr<net::http_call> http_call;
    };

    std::uint64_t queue(pending_call call, call_priority priority);
    void start(std::uint64_t number);
    void send(std::uint64_t number, pending_call& call);
    void start_queued_calls();
    void finish(std::uint64_t number, call_outcome outcome);
    void handle_http_result(std::uint64_t number, std::size_t address,
                            result<net::http_response> http_result);
    void record_failure(std::size_t address);
    void record_response();
    void post_with_retries(const std::string& path, const std::string& body,
                           call_priority priority, int remaining_attempts,
                           outcome_callback callback);
    void schedule_probe();
    void send_probe();
    error unavailable(const std::string& why, duration retry_after) const;

    net::event_loop& loop;
    net::http_client& http;
    std::vector<endpoint> addresses;
    std::size_t preferred_address = 0;
    call_rate_limiter rate_limiter;
    outage_detector outage;
    random_source randomness;
    std::map<std::uint64_t, pending_call> calls;
    std::map<std::uint64_t, net::timer> timers;
    net::timer rate_limiter_timer;
    net::timer probe_timer;
    std::uint64_t next_number = 1;
    std::uint64_t sent_calls = 0;
    bool is_shut_down = false;
};

} // namespace parsleytrack::key_value::detail
