// How an attempt at a replica and the whole call end.

#include "logging/log.hpp"
#include "relay/hop_headers.hpp"
#include "relay/online_call.hpp"
#include "relay/refusal.hpp"
#include "relay/stream_head.hpp"

#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Most replicas tried for one request, including those that did not run it.
constexpr int max_sends = 5;
constexpr int first_error_status = 500;
/// Replicas that may fail a request before the node's links are checked.
constexpr int sends_before_check = 2;
constexpr duration check_interval = std::chrono::milliseconds(10);

} // namespace

void online_call::handle_end(attempt_outcome outcome,
                             net::http_response response,
                             const std::string& reason)
{
    if (this->hold_end(outcome, response, reason))
    {
        return;
    }
    this->context.metrics.count("parsleytrack_replica_verdicts_total",
                                {{"verdict", to_string(outcome)}});
    const bool answered = outcome == attempt_outcome::answered;
    if (answered || outcome == attempt_outcome::may_have_run)
    {
        ++this->runs;
    }
    this->refusals += outcome == attempt_outcome::not_run ? 1 : 0;
    if (!answered && this->peer == exchange_peer::node)
    {
        this->handle_node_end(outcome, response, reason);
        return;
    }
    if (answered && this->handle_response(std::move(response)))
    {
        return;
    }
    if (this->peer == exchange_peer::node)
    {
        this->leave_node("the response is incomplete");
        return;
    }
    this->report_crash(outcome);
    const bool lost =
        this->attempt->was_cut() || outcome == attempt_outcome::not_sent;
    if (lost || !this->silence_is_reported)
    {
        this->slots.report_failure(this->request.id, this->service,
                                   this->replica, outcome, lost);
    }
    this->send_again(answered ? "the response is incomplete" : reason);
}

void online_call::report_crash(attempt_outcome outcome)
{
    // A stream without a length that ends early looks like an answer.
    const bool ended_early = outcome == attempt_outcome::answered &&
                             net::is_success(this->collected_status);
    if (this->context.link.is_suspect())
    {
        return;
    }
    if (ended_early || this->attempt->was_cut())
    {
        this->context.crashes.handle_lost_replica(
            this->request.id, this->traits, routing::process_of(this->replica),
            this->attempt_events);
    }
}

bool online_call::handle_response(net::http_response response)
{
    const int status = response.status;
    if (this->response_started)
    {
        if (!this->completes_stream(response))
        {
            return false;
        }
        this->context.crashes.handle_survival(this->traits);
        this->exchange->finish_stream();
        this->finish("served", status);
        return true;
    }
    if (this->request.route->kind == routing::request_kind::streaming &&
        net::is_success(status))
    {
        // The stream ended without a single event.
        return false;
    }
    // A complete answer shows that the replica survived, also one that says
    // that it failed.
    this->context.crashes.handle_survival(this->traits);
    const std::string& body =
        this->collected_body.empty() ? response.body : this->collected_body;
    if (status >= first_error_status && this->may_send_again())
    {
        return false;
    }
    this->exchange->respond(status, this->response_headers(response.headers),
                            body);
    this->finish(net::is_success(status) ? "served" : "replica_failed", status);
    return true;
}

bool online_call::completes_stream(const net::http_response& response) const
{
    if (!net::is_success(response.status) ||
        this->splitter.has_partial_event() || !this->sequence.has_events())
    {
        return false;
    }
    // A connection that just ends does not say that no event was left to send.
    return this->sequence.run_has_events() || has_marked_end(response.headers);
}

bool online_call::may_send_again() const
{
    if (this->sends >= max_sends ||
        this->runs >= this->request.route->max_attempts)
    {
        return false;
    }
    return this->runs == 0 || this->request.route->is_repeatable();
}

void online_call::send_again(const std::string& reason)
{
    if (!this->replica.id.empty())
    {
        this->excluded[this->replica.id] = routing::process_of(this->replica);
    }
    this->release_attempt();
    this->lease.reset();
    if (!this->may_send_again())
    {
        const bool ran = this->runs > 0;
        this->fail(error{
            ran ? error_code::backend_failed : error_code::no_replica,
            "replica " + this->replica.id.str() +
                " did not complete the request: " + reason,
            ran ? ran_state::unknown : ran_state::no, retry_after_refused});
        return;
    }
    log_event(log_level::info, "request_sent_again",
              {{"request", this->request.id.str()},
               {"replica", this->replica.id.str()},
               {"version", this->replica.version.str()},
               {"connection", this->last_connection.connection},
               {"earlier_requests", this->last_connection.earlier_requests},
               {"sends", this->sends},
               {"runs", this->runs},
               {"after_event", this->sequence.last_number()},
               {"reason", reason}});
    this->request_slot_when_checked();
}

void online_call::request_slot_when_checked()
{
    if (this->sends < sends_before_check || !this->context.link.is_checking())
    {
        this->request_slot();
        return;
    }
    this->check_timer = this->context.loop.call_after(
        check_interval, [this] { this->request_slot_when_checked(); });
}

void online_call::release_attempt()
{
    this->discard_held();
    this->silence_timer.cancel();
    this->stall_timer.cancel();
    this->reach_check.reset();
    if (!this->attempt)
    {
        return;
    }
    this->attempt->cancel();
    // Closes the connection to the replica; deferred, since this may run inside
    // a callback of the exchange.
    this->context.loop.free_later(std::move(this->attempt));
}

void online_call::fail(error reason)
{
    if (this->ended)
    {
        return;
    }
    if (this->response_started)
    {
        this->exchange->abort();
        this->finish("stream_broken_off", 0);
        return;
    }
    if (this->runs > 0)
    {
        reason.ran = ran_state::unknown;
    }
    const int status = refuse(*this->exchange, reason);
    const std::string outcome =
        "refused_" + std::string(to_string(reason.code));
    this->finish(outcome.c_str(), status);
}

void online_call::expire()
{
    if (this->attempt)
    {
        // The replica may be running the request.
        ++this->runs;
        this->report_unended_body();
    }
    const bool ran = this->runs > 0;
    this->fail(
        error{ran ? error_code::deadline_exceeded : error_code::no_replica,
              "the deadline of the request has passed",
              ran ? ran_state::unknown : ran_state::no, retry_after_refused});
}

void online_call::report_unended_body()
{
    if (!this->is_stream() && this->peer == exchange_peer::replica &&
        this->attempt->has_head())
    {
        this->slots.report_failure(this->request.id, this->service,
                                   this->replica, attempt_outcome::may_have_run,
                                   false);
    }
}

void online_call::finish(const char* outcome, int status)
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    this->deadline_timer.cancel();
    this->check_timer.cancel();
    this->avoidance_timer.cancel();
    this->report_end(outcome, status);
    this->release_attempt();
    this->lease.reset();
    this->claim.reset();
    this->search.reset();
    const auto callback = std::move(this->ended_callback);
    callback();
}

void online_call::report_end(const char* outcome, int status) const
{
    const auto since_arrival = [this](time_point when)
    {
        return when - this->request.received;
    };
    const time_point now = net::event_loop::now();
    const char* kind = to_string(this->request.route->kind);
    log_event(
        log_level::info, "request_ended",
        {{"request", this->request.id.str()},
         {"outcome", outcome},
         {"status", status},
         {"route", this->request.route->name},
         {"configuration", this->request.table->contents().version.count()},
         {"replica", this->replica.id.str()},
         {"version", this->replica.version.str()},
         {"sends", this->sends},
         {"runs", this->runs},
         {"sent_after_ms",
          this->sends > 0 ? to_milliseconds(since_arrival(this->sent_at)) : -1},
         {"first_ms", this->first_output_at ? to_milliseconds(since_arrival(
                                                  *this->first_output_at))
                                            : -1},
         {"total_ms", to_milliseconds(since_arrival(now))},
         {"replicas_age_ms", to_milliseconds(this->context.replicas.age())}});
    this->context.metrics.count("parsleytrack_requests_total",
                                {{"outcome", outcome}, {"kind", kind}});
    this->context.metrics.observe(
        "parsleytrack_first_output_seconds", {{"kind", kind}},
        since_arrival(this->first_output_at.value_or(now)));
}

} // namespace parsleytrack::relay
