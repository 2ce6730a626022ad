#include "daemon/online_call.hpp"

#include "backends/completion_request.hpp"
#include "daemon/answer_headers.hpp"
#include "logging/log.hpp"
#include "net/error_response.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr int ok = 200;
/// How often a gate may pass a request back before it has to queue it.
constexpr int most_passes = 2;
constexpr const char* done_event = "data: [DONE]\n\n";
/// Largest answer that is kept whole.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
/// Bytes that the caller has not taken beyond which a stream is given up.
constexpr std::size_t max_pending_bytes = 1024 * 1024;
/// Added to a gate's own limit on pauses, so that its word comes first.
constexpr duration idle_margin = std::chrono::milliseconds(500);
constexpr duration no_replica_retry_after = std::chrono::seconds(1);

} // namespace

online_call::online_call(online_services& services, online_request checked,
                         std::shared_ptr<net::http_exchange> caller,
                         std::function<void()> at_end)
    : shared(services), request(std::move(checked)),
      exchange(std::move(caller)), ended_callback(std::move(at_end))
{
}

void online_call::start()
{
    this->exchange->on_closed(
        [kept = this->weak_from_this()]
        {
            if (const auto call = kept.lock())
            {
                call->caller_left();
            }
        });
    this->shared.retries.first_try(this->request.service->name);
    if (!this->request.idempotent && !this->request.key.empty())
    {
        this->acquire_grant();
        return;
    }
    this->begin_attempt();
}

void online_call::acquire_grant()
{
    const std::string fingerprint = this->request.method + " " +
                                    this->request.target + "\n" +
                                    this->request.body;
    this->shared.once.acquire(
        this->request.workspace, this->request.key, fingerprint,
        [kept = this->shared_from_this()](const result<once_grant>& grant)
        {
            if (grant.has_error())
            {
                kept->fail(grant.error());
                return;
            }
            if (grant.value().recorded)
            {
                const once_answer& answer = *grant.value().recorded;
                kept->respond(answer.status,
                              {{"Content-Type", answer.content_type}},
                              answer.body);
                return;
            }
            kept->begin_attempt();
        });
}

void online_call::begin_attempt()
{
    const std::vector<replica_id> candidates = this->live_replicas();
    const auto replica = this->shared.picker.pick(
        candidates, this->request.prefix_hashes, this->tried,
        net::event_loop::now(), this->shared.context.random);
    if (!replica)
    {
        this->fail(error{error_code::no_replica,
                         "service \"" + this->request.service->name.str() +
                             "\" has no live replica",
                         ran_state::no, no_replica_retry_after});
        return;
    }
    this->tried.insert(*replica);
    const attempt_number number = this->progress.begin_attempt();
    this->shared.picker.sent(*replica, this->request.prefix_hashes);
    this->attempt.emplace();
    this->attempt->number = number;
    this->attempt->replica = *replica;
    if (this->is_event_stream())
    {
        this->attempt->reader = std::make_unique<backends::event_stream_reader>(
            [this](const backends::stream_event& event)
            { this->handle_event(event); });
    }
    forward_request forward = this->make_forward(number, *replica);
    forward.may_pass_back =
        this->passes < most_passes &&
        this->shared.picker.has_free_slot(candidates, this->tried);
    this->attempt->call =
        this->shared.gates.send(forward, this->make_hooks(number));
}

forward_request online_call::make_forward(attempt_number number,
                                          const replica_id& replica) const
{
    forward_request forward;
    forward.id = request_id(this->request.id.str() + "-" +
                            std::to_string(number.count()));
    forward.service = this->request.service->name;
    forward.replica = replica;
    forward.workspace = this->request.workspace;
    forward.method = this->request.method;
    forward.target = this->request.target;
    forward.headers = this->request.headers;
    forward.body = this->progress.resume_text().empty()
                       ? this->request.body
                       : backends::with_resume(this->request.body,
                                               this->progress.resume_text());
    forward.time_left = this->time_left();
    forward.attempt = number;
    forward.send_once = !this->request.idempotent;
    forward.stream = this->is_event_stream();
    forward.prefix_hashes = this->request.prefix_hashes;
    return forward;
}

forward_hooks online_call::make_hooks(attempt_number number)
{
    const auto if_owner = [kept = this->weak_from_this(), number](auto action)
    {
        const auto call = kept.lock();
        if (call && !call->ended && call->progress.owns(number))
        {
            action(*call);
        }
    };
    forward_hooks hooks;
    hooks.on_head = [if_owner](const forward_head& head)
    {
        if_owner([&head](online_call& call) { call.handle_head(head); });
    };
    hooks.on_piece = [if_owner](std::string_view piece)
    {
        if_owner([piece](online_call& call) { call.handle_piece(piece); });
    };
    hooks.on_end = [if_owner](const result<bool>& outcome)
    {
        if_owner([&outcome](online_call& call) { call.handle_end(outcome); });
    };
    return hooks;
}

void online_call::handle_head(const forward_head& head)
{
    this->shared.picker.update(this->attempt->replica, head.summary);
    this->attempt->has_head = true;
    this->attempt->status = head.status;
    this->attempt->headers = passed_back(head.headers);
    if (head.status != ok)
    {
        this->attempt->reader.reset();
    }
    this->restart_idle_timer();
}

void online_call::handle_piece(std::string_view piece)
{
    this->restart_idle_timer();
    if (this->attempt->reader)
    {
        // The reader's callback may end the attempt that owns the reader.
        const auto kept = this->shared_from_this();
        if (!this->attempt->reader->feed(piece))
        {
            this->retry_or_fail(error{error_code::backend_failed,
                                      "an event of the answer is too long",
                                      ran_state::unknown,
                                      {}});
        }
        return;
    }
    if (this->attempt->body.size() + piece.size() > max_answer_bytes)
    {
        this->attempt->too_large = true;
        return;
    }
    this->attempt->body.append(piece);
}

void online_call::handle_event(const backends::stream_event& event)
{
    if (event.done)
    {
        // Written when the attempt ends, so that it ends only once.
        this->attempt->has_finish_reason = true;
        return;
    }
    if (!this->progress.accept(this->attempt->number, event.text))
    {
        return;
    }
    this->attempt->has_finish_reason |= !event.finish_reason.empty();
    if (!this->stream_started)
    {
        this->stream_started = true;
        this->exchange->start_stream(ok, this->attempt->headers);
    }
    this->exchange->write_chunk(event.raw);
    if (this->exchange->pending_output_bytes() > max_pending_bytes)
    {
        this->shared.context.metrics.count("parsleytrack_slow_callers_total",
                                           {});
        this->exchange->abort();
        this->shared.context.loop.post([kept = this->shared_from_this()]
                                       { kept->caller_left(); });
    }
}

void online_call::handle_end(const result<bool>& outcome)
{
    if (this->attempt->reader && this->attempt->has_finish_reason)
    {
        // All text has come, whatever became of the connection after it.
        this->progress.complete(this->attempt->number);
        this->finish_attempt();
        this->exchange->write_chunk(done_event);
        this->exchange->finish_stream();
        this->end();
        return;
    }
    if (outcome.has_error())
    {
        this->retry_or_fail(outcome.error());
        return;
    }
    if (this->attempt->reader)
    {
        this->retry_or_fail(error{error_code::connection_lost,
                                  "the answer has stopped before its end",
                                  ran_state::unknown,
                                  {}});
        return;
    }
    if (this->attempt->too_large)
    {
        this->fail(error{error_code::too_large,
                         "the answer is larger than this system passes on",
                         ran_state::unknown,
                         {}});
        return;
    }
    this->answer_whole();
}

void online_call::answer_whole()
{
    this->progress.complete(this->attempt->number);
    const int status = this->attempt->status;
    const net::http_header_list headers = std::move(this->attempt->headers);
    const std::string body = std::move(this->attempt->body);
    this->finish_attempt();
    if (this->request.idempotent || this->request.key.empty())
    {
        this->respond(status, headers, body);
        return;
    }
    // The answer is recorded first, so that a resent call finds it. Where that
    // fails the caller has it all the same, and the call is not run again.
    this->shared.once.record(
        this->request.workspace, this->request.key,
        once_answer{status, content_type_of(headers), body},
        [kept = this->shared_from_this(), status, headers,
         body](const result<bool>&) { kept->respond(status, headers, body); });
}

void online_call::restart_idle_timer()
{
    if (!this->attempt->reader)
    {
        return;
    }
    this->attempt->idle_timer = this->shared.context.loop.call_after(
        this->request.service->idle_timeout + idle_margin,
        [this]
        {
            const auto kept = this->shared_from_this();
            this->retry_or_fail(error{error_code::deadline_exceeded,
                                      "the answer has stopped",
                                      ran_state::unknown,
                                      {}});
        });
}

bool online_call::is_event_stream() const
{
    return this->request.stream &&
           (this->request.idempotent || this->request.key.empty());
}

std::vector<replica_id> online_call::live_replicas() const
{
    std::vector<replica_id> live;
    for (const replica_info& replica :
         this->shared.context.fleet.replicas_of(this->request.service->name))
    {
        if (replica.state == replica_state::live)
        {
            live.push_back(replica.id);
        }
    }
    return live;
}

duration online_call::time_left() const
{
    return std::max(duration::zero(),
                    this->request.deadline - net::event_loop::now());
}

} // namespace parsleytrack
