#include "key_value/etcd_transport.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration call_timeout = std::chrono::milliseconds(1500);
constexpr duration stream_open_timeout = std::chrono::seconds(3);
constexpr duration initial_retry_delay = std::chrono::milliseconds(60);
constexpr duration max_retry_delay = std::chrono::milliseconds(600);
constexpr duration min_probe_delay = std::chrono::milliseconds(20);
constexpr int idempotent_attempts = 4;
// Length of the queue: the calls that the node may send in this many seconds.
constexpr int queue_limit_s = 4;
constexpr std::size_t min_queue_limit = 16;
constexpr int http_ok = 200;

std::size_t queue_limit(int calls_per_s)
{
    return std::max(min_queue_limit, static_cast<std::size_t>(std::max(
                                         0, calls_per_s * queue_limit_s)));
}

} // namespace

etcd_transport::etcd_transport(net::event_loop& event_loop,
                               net::http_client& client,
                               std::vector<endpoint> store_addresses,
                               int calls_per_s, std::uint64_t seed)
    : loop(event_loop), http(client), addresses(std::move(store_addresses)),
      rate_limiter(calls_per_s, queue_limit(calls_per_s)), randomness(seed)
{
    if (!this->addresses.empty())
    {
        // A random start spreads the nodes over the store's addresses.
        this->preferred_address = this->randomness() % this->addresses.size();
    }
}

void etcd_transport::post(const std::string& path, const std::string& body,
                          call_priority priority, outcome_callback callback)
{
    pending_call call;
    call.path = path;
    call.body = body;
    call.on_end = std::move(callback);
    this->queue(std::move(call), priority);
}

void etcd_transport::post_idempotent(const std::string& path,
                                     const std::string& body,
                                     call_priority priority,
                                     outcome_callback callback)
{
    this->post_with_retries(path, body, priority, idempotent_attempts,
                            std::move(callback));
}

void etcd_transport::post_with_retries(const std::string& path,
                                       const std::string& body,
                                       call_priority priority,
                                       int remaining_attempts,
                                       outcome_callback callback)
{
    const auto retry_or_finish = [this, path, body, priority,
                                  remaining_attempts,
                                  callback](call_outcome outcome)
    {
        const bool is_final =
            outcome.status == call_outcome::status_kind::succeeded ||
            outcome.status == call_outcome::status_kind::rejected;
        if (is_final || remaining_attempts <= 1 || !this->is_reachable() ||
            this->addresses.empty())
        {
            callback(std::move(outcome));
            return;
        }
        backoff retry_backoff(initial_retry_delay * (idempotent_attempts + 1 -
                                                     remaining_attempts),
                              max_retry_delay);
        this->call_after(
            retry_backoff.next_delay(this->randomness),
            [this, path, body, priority, remaining_attempts, callback]
            {
                this->post_with_retries(path, body, priority,
                                        remaining_attempts - 1, callback);
            });
    };
    this->post(path, body, priority, retry_or_finish);
}

std::uint64_t etcd_transport::open_stream(const std::string& path,
                                          const std::string& body,
                                          duration idle_timeout,
                                          stream_callbacks callbacks)
{
    pending_call call;
    call.path = path;
    call.body = body;
    call.stream = std::move(callbacks);
    call.is_stream = true;
    call.idle_timeout = idle_timeout;
    return this->queue(std::move(call), call_priority::normal);
}

void etcd_transport::close_stream_later(std::uint64_t number)
{
    this->call_after(duration::zero(),
                     [this, number] { this->calls.erase(number); });
}

void etcd_transport::shut_down()
{
    const auto self = this->shared_from_this();
    this->is_shut_down = true;
    this->rate_limiter_timer.cancel();
    this->probe_timer.cancel();
    // The callbacks hold references to this object and to each other, so the
    // containers are emptied before their contents are destroyed.
    const auto dropped_calls = std::exchange(this->calls, {});
    const auto dropped_timers = std::exchange(this->timers, {});
}

void etcd_transport::call_after(duration delay, std::function<void()> callback)
{
    if (this->is_shut_down)
    {
        return;
    }
    const std::uint64_t number = this->next_number++;
    this->timers[number] =
        this->loop.call_after(delay,
                              [this, number, callback = std::move(callback)]
                              {
                                  const auto self = this->shared_from_this();
                                  const auto timer =
                                      std::move(this->timers[number]);
                                  this->timers.erase(number);
                                  callback();
                              });
}

std::uint64_t etcd_transport::queue(pending_call call, call_priority priority)
{
    const std::uint64_t number = this->next_number++;
    if (this->is_shut_down)
    {
        return number;
    }
    this->calls[number] = std::move(call);
    const time_point now = net::event_loop::now();
    std::string rejection;
    duration retry_after = duration::zero();
    if (this->addresses.empty())
    {
        rejection = "no store address is configured";
        retry_after = max_retry_delay;
    }
    else if (!this->outage.is_reachable())
    {
        rejection = "the store is unreachable";
        retry_after = this->outage.time_until_probe(now);
    }
    else
    {
        const auto decision = this->rate_limiter.request(number, priority, now);
        if (decision == call_rate_limiter::decision::start)
        {
            this->start(number);
            return number;
        }
        if (decision == call_rate_limiter::decision::wait)
        {
            this->start_queued_calls();
            return number;
        }
        rejection = "the queue for calls to the store is full";
        retry_after = this->rate_limiter.queue_delay();
    }
    this->call_after(
        duration::zero(),
        [this, number, reason = this->unavailable(rejection, retry_after)]
        {
            call_outcome outcome;
            outcome.status = call_outcome::status_kind::not_sent;
            outcome.reason = reason;
            this->finish(number, std::move(outcome));
        });
    return number;
}

void etcd_transport::start_queued_calls()
{
    const time_point now = net::event_loop::now();
    while (const auto number = this->rate_limiter.next_ready(now))
    {
        this->start(*number);
    }
    const auto wait = this->rate_limiter.wait_time(now);
    if (!wait)
    {
        this->rate_limiter_timer.cancel();
        return;
    }
    this->rate_limiter_timer =
        this->loop.call_after(*wait, [this] { this->start_queued_calls(); });
}

void etcd_transport::start(std::uint64_t number)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end())
    {
        return;
    }
    if (!this->outage.is_reachable())
    {
        const duration wait =
            this->outage.time_until_probe(net::event_loop::now());
        const error reason =
            this->unavailable("the store is unreachable", wait);
        this->call_after(duration::zero(),
                         [this, number, reason]
                         {
                             call_outcome outcome;
                             outcome.reason = reason;
                             this->finish(number, std::move(outcome));
                         });
        return;
    }
    this->send(number, found->second);
}

void etcd_transport::send(std::uint64_t number, pending_call& call)
{
    net::http_request request;
    request.method = "POST";
    request.target = call.path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = call.body;
    net::http_client::callbacks callbacks;
    if (call.is_stream)
    {
        request.head_timeout = stream_open_timeout;
        request.idle_timeout = call.idle_timeout;
        callbacks.on_head = [this, &call](const net::http_response& response)
        {
            if (response.status == http_ok)
            {
                call.stream_is_open = true;
                this->record_response();
            }
        };
        callbacks.on_piece = call.stream.on_piece;
    }
    else
    {
        request.total_timeout = call_timeout;
    }
    const std::size_t address = this->preferred_address;
    callbacks.on_end =
        [this, number, address](result<net::http_response> http_result)
    {
        this->handle_http_result(number, address, std::move(http_result));
    };
    ++this->sent_calls;
    call.http_call =
        this->http.send(this->addresses[address], request, callbacks);
}

void etcd_transport::handle_http_result(std::uint64_t number,
                                        std::size_t address,
                                        result<net::http_response> http_result)
{
    const auto self = this->shared_from_this();
    call_outcome outcome = to_call_outcome(std::move(http_result));
    const bool has_response =
        outcome.status == call_outcome::status_kind::succeeded ||
        outcome.status == call_outcome::status_kind::rejected;
    const auto found = this->calls.find(number);
    const bool ended_stream =
        found != this->calls.end() && found->second.stream_is_open;
    if (has_response)
    {
        this->record_response();
    }
    else if (!ended_stream)
    {
        this->record_failure(address);
    }
    this->finish(number, std::move(outcome));
}

void etcd_transport::finish(std::uint64_t number, call_outcome outcome)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end())
    {
        return;
    }
    const pending_call call = std::move(found->second);
    this->calls.erase(found);
    if (!call.is_stream)
    {
        call.on_end(std::move(outcome));
        return;
    }
    call.stream.on_end(outcome.reason);
}

void etcd_transport::record_response()
{
    if (this->outage.record_response())
    {
        this->probe_timer.cancel();
        log_event(log_level::info, "store_outage_ended");
    }
}

void etcd_transport::record_failure(std::size_t address)
{
    if (address == this->preferred_address)
    {
        this->preferred_address = (address + 1) % this->addresses.size();
    }
    const time_point now = net::event_loop::now();
    if (this->outage.record_failure(now, this->randomness))
    {
        log_event(log_level::warning, "store_outage_started");
    }
    if (!this->outage.is_reachable())
    {
        this->schedule_probe();
    }
}

void etcd_transport::schedule_probe()
{
    this->probe_timer = this->loop.call_after(
        this->outage.time_until_probe(net::event_loop::now()),
        [this] { this->send_probe(); });
}

void etcd_transport::send_probe()
{
    const time_point now = net::event_loop::now();
    if (!this->outage.try_start_probe(now))
    {
        // The loop's timers may fire a few milliseconds early.
        if (!this->outage.is_reachable())
        {
            this->probe_timer = this->loop.call_after(
                std::max(min_probe_delay, this->outage.time_until_probe(now)),
                [this] { this->send_probe(); });
        }
        return;
    }
    // The probe reads a key that never exists.
    pending_call call;
    call.path = "/v3/kv/range";
    call.body = R"({"key":"cGFyc2xleXRyYWNrL3Byb2Jl"})";
    call.on_end = [](const call_outcome&) {
    };
    const std::uint64_t number = this->next_number++;
    this->calls[number] = std::move(call);
    this->send(number, this->calls[number]);
}

error etcd_transport::unavailable(const std::string& why,
                                  duration retry_after) const
{
    return error{error_code::store_unavailable, why, ran_state::no,
                 retry_after};
}

} // namespace parsleytrack::key_value::detail
