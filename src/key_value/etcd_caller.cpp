#include "key_value/etcd_caller.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration call_timeout = std::chrono::milliseconds(1500);
constexpr duration stream_open_timeout = std::chrono::seconds(3);
constexpr duration first_repeat_delay = std::chrono::milliseconds(60);
constexpr duration longest_repeat_delay = std::chrono::milliseconds(600);
constexpr duration shortest_probe_wait = std::chrono::milliseconds(20);
constexpr int repeatable_attempts = 4;
// Calls that wait, as seconds of the node's whole rate.
constexpr int queue_seconds = 4;
constexpr std::size_t least_queue_limit = 16;
constexpr int http_ok = 200;

std::size_t queue_limit(int calls_per_s)
{
    return std::max(least_queue_limit, static_cast<std::size_t>(std::max(
                                           0, calls_per_s * queue_seconds)));
}

} // namespace

etcd_caller::etcd_caller(net::event_loop& event_loop, net::http_client& client,
                         std::vector<endpoint> store_addresses, int calls_per_s,
                         std::uint64_t seed)
    : loop(event_loop), http(client), addresses(std::move(store_addresses)),
      budget(calls_per_s, queue_limit(calls_per_s)), randomness(seed)
{
    if (!this->addresses.empty())
    {
        // So that nodes do not all use the first address.
        this->preferred = this->randomness() % this->addresses.size();
    }
}

void etcd_caller::post(const std::string& path, const std::string& body,
                       call_lane lane, end_callback callback)
{
    pending_call call;
    call.path = path;
    call.body = body;
    call.on_end = std::move(callback);
    this->queue(std::move(call), lane);
}

void etcd_caller::post_repeatable(const std::string& path,
                                  const std::string& body, call_lane lane,
                                  end_callback callback)
{
    this->repeat(path, body, lane, repeatable_attempts, std::move(callback));
}

void etcd_caller::repeat(const std::string& path, const std::string& body,
                         call_lane lane, int attempts_left,
                         end_callback callback)
{
    const auto again =
        [this, path, body, lane, attempts_left, callback](call_end end)
    {
        const bool final = end.how == call_end::kind::answered ||
                           end.how == call_end::kind::refused;
        if (final || attempts_left <= 1 || !this->is_reachable() ||
            this->addresses.empty())
        {
            callback(std::move(end));
            return;
        }
        backoff pause(first_repeat_delay *
                          (repeatable_attempts + 1 - attempts_left),
                      longest_repeat_delay);
        this->after(
            pause.next(this->randomness),
            [this, path, body, lane, attempts_left, callback]
            { this->repeat(path, body, lane, attempts_left - 1, callback); });
    };
    this->post(path, body, lane, again);
}

std::uint64_t etcd_caller::open_stream(const std::string& path,
                                       const std::string& body,
                                       duration idle_timeout,
                                       stream_callbacks hooks)
{
    pending_call call;
    call.path = path;
    call.body = body;
    call.stream = std::move(hooks);
    call.is_stream = true;
    call.idle_timeout = idle_timeout;
    return this->queue(std::move(call), call_lane::normal);
}

void etcd_caller::close_soon(std::uint64_t number)
{
    this->after(duration::zero(),
                [this, number] { this->calls.erase(number); });
}

void etcd_caller::shut_down()
{
    const auto kept = this->shared_from_this();
    this->is_shut_down = true;
    this->budget_timer.cancel();
    this->probe_timer.cancel();
    // The callbacks refer to this object and to each other, so the containers
    // are emptied before their contents are destroyed.
    const auto dropped_calls = std::exchange(this->calls, {});
    const auto dropped_timers = std::exchange(this->timers, {});
}

void etcd_caller::after(duration delay, std::function<void()> callback)
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
                                  const auto kept = this->shared_from_this();
                                  const auto timer =
                                      std::move(this->timers[number]);
                                  this->timers.erase(number);
                                  callback();
                              });
}

std::uint64_t etcd_caller::queue(pending_call call, call_lane lane)
{
    const std::uint64_t number = this->next_number++;
    if (this->is_shut_down)
    {
        return number;
    }
    this->calls[number] = std::move(call);
    const time_point now = net::event_loop::now();
    std::string refusal;
    duration retry_after = duration::zero();
    if (this->addresses.empty())
    {
        refusal = "no address of the store is set";
        retry_after = longest_repeat_delay;
    }
    else if (!this->outage.is_reachable())
    {
        refusal = "the store is out of reach";
        retry_after = this->outage.until_probe(now);
    }
    else
    {
        const auto verdict = this->budget.request(number, lane, now);
        if (verdict == call_budget::verdict::start)
        {
            this->start(number);
            return number;
        }
        if (verdict == call_budget::verdict::wait)
        {
            this->start_waiting();
            return number;
        }
        refusal = "too many calls to the store wait already";
        retry_after = this->budget.backlog();
    }
    this->after(duration::zero(),
                [this, number, reason = this->unavailable(refusal, retry_after)]
                {
                    call_end end;
                    end.how = call_end::kind::not_sent;
                    end.reason = reason;
                    this->finish(number, std::move(end));
                });
    return number;
}

void etcd_caller::start_waiting()
{
    const time_point now = net::event_loop::now();
    while (const auto number = this->budget.next(now))
    {
        this->start(*number);
    }
    const auto wait = this->budget.wait_time(now);
    if (!wait)
    {
        this->budget_timer.cancel();
        return;
    }
    this->budget_timer =
        this->loop.call_after(*wait, [this] { this->start_waiting(); });
}

void etcd_caller::start(std::uint64_t number)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end())
    {
        return;
    }
    if (!this->outage.is_reachable())
    {
        const duration wait = this->outage.until_probe(net::event_loop::now());
        const error reason =
            this->unavailable("the store is out of reach", wait);
        this->after(duration::zero(),
                    [this, number, reason]
                    {
                        call_end end;
                        end.reason = reason;
                        this->finish(number, std::move(end));
                    });
        return;
    }
    this->send(number, found->second);
}

void etcd_caller::send(std::uint64_t number, pending_call& call)
{
    net::http_request request;
    request.method = "POST";
    request.target = call.path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = call.body;
    net::http_client::callbacks hooks;
    if (call.is_stream)
    {
        request.head_timeout = stream_open_timeout;
        request.idle_timeout = call.idle_timeout;
        hooks.on_head = [this, &call](const net::http_response& response)
        {
            if (response.status == http_ok)
            {
                call.stream_is_open = true;
                this->note_answer();
            }
        };
        hooks.on_piece = call.stream.on_piece;
    }
    else
    {
        request.total_timeout = call_timeout;
    }
    const std::size_t address = this->preferred;
    hooks.on_end = [this, number, address](result<net::http_response> outcome)
    {
        this->end_of_http(number, address, std::move(outcome));
    };
    ++this->sent_calls;
    call.link = this->http.send(this->addresses[address], request, hooks);
}

void etcd_caller::end_of_http(std::uint64_t number, std::size_t address,
                              result<net::http_response> outcome)
{
    const auto kept = this->shared_from_this();
    call_end end = to_call_end(std::move(outcome));
    const bool answered = end.how == call_end::kind::answered ||
                          end.how == call_end::kind::refused;
    const auto found = this->calls.find(number);
    const bool ended_stream =
        found != this->calls.end() && found->second.stream_is_open;
    if (answered)
    {
        this->note_answer();
    }
    else if (!ended_stream)
    {
        this->note_failure(address);
    }
    this->finish(number, std::move(end));
}

void etcd_caller::finish(std::uint64_t number, call_end end)
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
        call.on_end(std::move(end));
        return;
    }
    call.stream.on_end(end.reason);
}

void etcd_caller::note_answer()
{
    if (this->outage.call_answered())
    {
        this->probe_timer.cancel();
        log_event(log_level::info, "store_outage_ended");
    }
}

void etcd_caller::note_failure(std::size_t address)
{
    if (address == this->preferred)
    {
        this->preferred = (address + 1) % this->addresses.size();
    }
    const time_point now = net::event_loop::now();
    if (this->outage.call_failed(now, this->randomness))
    {
        log_event(log_level::warning, "store_outage_started");
    }
    if (!this->outage.is_reachable())
    {
        this->wait_for_probe();
    }
}

void etcd_caller::wait_for_probe()
{
    this->probe_timer =
        this->loop.call_after(this->outage.until_probe(net::event_loop::now()),
                              [this] { this->probe(); });
}

void etcd_caller::probe()
{
    const time_point now = net::event_loop::now();
    if (!this->outage.take_probe(now))
    {
        // The loop's timers may fire a few milliseconds early.
        if (!this->outage.is_reachable())
        {
            this->probe_timer = this->loop.call_after(
                std::max(shortest_probe_wait, this->outage.until_probe(now)),
                [this] { this->probe(); });
        }
        return;
    }
    // Reads a key that never exists.
    pending_call call;
    call.path = "/v3/kv/range";
    call.body = R"({"key":"cGFyc2xleXRyYWNrL3Byb2Jl"})";
    call.on_end = [](const call_end&) {
    };
    const std::uint64_t number = this->next_number++;
    this->calls[number] = std::move(call);
    this->send(number, this->calls[number]);
}

error etcd_caller::unavailable(const std::string& why,
                               duration retry_after) const
{
    return error{error_code::store_unavailable, why, ran_state::no,
                 retry_after};
}

} // namespace parsleytrack::key_value::detail
