// How a call goes on after a failed attempt and how it ends; its attempts and
// their answers are in online_call.cpp.

#include "daemon/online_call.hpp"

#include "logging/log.hpp"
#include "net/error_response.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// \returns Whether a failure speaks against the replica.
bool is_replica_failure(error_code code)
{
    return code == error_code::backend_failed ||
           code == error_code::connection_lost ||
           code == error_code::peer_unreachable ||
           code == error_code::deadline_exceeded ||
           code == error_code::no_replica;
}

} // namespace

void online_call::retry_or_fail(const error& reason)
{
    const replica_id replica = this->attempt->replica;
    this->any_may_have_run |= reason.ran == ran_state::unknown;
    this->finish_attempt();
    if (is_replica_failure(reason.code))
    {
        this->shared.picker.failed(replica, net::event_loop::now());
    }
    if (reason.code == error_code::passed_back)
    {
        this->shared.picker.passed_back(replica);
        this->passes += 1;
    }
    failed_attempt failed;
    failed.service = this->request.service->name;
    failed.attempt =
        attempt_number(this->progress.last_attempt().count() - this->passes);
    failed.reason = reason.code;
    failed.ran = reason.ran;
    failed.idempotent = this->request.idempotent;
    failed.time_left = this->time_left();
    const auto wait =
        this->shared.retries.retry_after(failed, this->shared.context.random);
    if (!wait)
    {
        this->fail(reason);
        return;
    }
    this->shared.context.metrics.count(
        "parsleytrack_retries_total",
        {{"service", failed.service.str()},
         {"reason", std::string(to_string(reason.code))}});
    this->backoff = this->shared.context.loop.call_after(
        *wait,
        [kept = this->weak_from_this()]
        {
            if (const auto call = kept.lock())
            {
                call->begin_attempt();
            }
        });
}

void online_call::finish_attempt()
{
    if (!this->attempt)
    {
        return;
    }
    this->progress.end_attempt();
    this->shared.picker.ended(this->attempt->replica);
    // It may be in one of its own callbacks, so it is freed afterwards.
    this->shared.context.loop.post([ended = std::make_shared<online_attempt>(
                                        std::move(*this->attempt))] {});
    this->attempt.reset();
}

void online_call::respond(int status, const net::http_header_list& headers,
                          const std::string& body)
{
    this->exchange->respond(status, headers, body);
    this->end();
}

void online_call::fail(error reason)
{
    this->finish_attempt();
    if (this->any_may_have_run)
    {
        reason.ran = ran_state::unknown;
    }
    const bool holds_grant = !this->request.idempotent &&
                             !this->request.key.empty() &&
                             this->progress.last_attempt().count() > 0;
    if (holds_grant && reason.ran == ran_state::no)
    {
        this->shared.once.release_unsent(this->request.workspace,
                                         this->request.key);
    }
    this->shared.context.metrics.count(
        "parsleytrack_refusals_total",
        {{"service", this->request.service->name.str()},
         {"reason", std::string(to_string(reason.code))},
         {"ran", to_string(reason.ran)}});
    if (this->stream_started)
    {
        // The caller must see that the answer is not whole.
        this->exchange->abort();
    }
    else
    {
        respond_error(*this->exchange, reason);
    }
    this->end();
}

void online_call::caller_left()
{
    const bool must_be_recorded =
        !this->request.idempotent && !this->request.key.empty();
    if (this->ended || must_be_recorded)
    {
        return;
    }
    this->shared.context.metrics.count(
        "parsleytrack_callers_gone_total",
        {{"service", this->request.service->name.str()}});
    this->finish_attempt();
    this->end();
}

void online_call::end()
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    this->backoff.cancel();
    // The owner lets go of this call, which may be in one of its callbacks.
    this->shared.context.loop.post(
        std::exchange(this->ended_callback, nullptr));
}

} // namespace parsleytrack
