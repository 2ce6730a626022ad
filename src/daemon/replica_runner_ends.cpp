// What a runner does with the pieces and the end of an answer; how it starts
// and stops work is in replica_runner.cpp.

#include "daemon/replica_runner.hpp"

#include "logging/log.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

/// \returns Whether a failed answer speaks against the replica itself.
bool is_replica_failure(const error& reason)
{
    return reason.code != error_code::unknown_model &&
           reason.code != error_code::no_replica &&
           reason.code != error_code::cancelled;
}

/// \returns How the gate is to count the end of work.
work_end end_of(const result<bool>& outcome, bool failed, bool whole)
{
    if (!failed)
    {
        return whole ? work_end::completed : work_end::cancelled;
    }
    const bool in_time = outcome.error().code != error_code::deadline_exceeded;
    return in_time ? work_end::failed : work_end::timed_out;
}

} // namespace

void replica_runner::handle_piece(work_id id, entry& job,
                                  std::string_view piece)
{
    const time_point now = net::event_loop::now();
    const metrics::label_list labels{{"service", this->settings.name.str()},
                                     {"class", to_string(job.job.work.kind)}};
    if (!job.has_output)
    {
        job.has_output = true;
        this->context.metrics.observe("parsleytrack_first_output_seconds",
                                      labels, now - job.submitted);
    }
    else
    {
        this->context.metrics.observe("parsleytrack_between_output_seconds",
                                      labels, now - job.last_output);
    }
    job.last_output = now;
    // A copy, since the callback may cancel the job.
    const auto callback = job.wanted ? job.job.on_piece : nullptr;
    this->decisions.output(id, now);
    this->run_commands();
    if (callback)
    {
        callback(piece);
    }
}

void replica_runner::handle_end(work_id id, result<bool> outcome)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        return;
    }
    entry& ended = found->second;
    const bool whole =
        outcome.has_value() && (!ended.job.is_whole || ended.job.is_whole());
    if (ended.stopping && !whole)
    {
        this->handle_stopped(id);
        return;
    }
    const bool wanted = ended.wanted;
    const auto callback = ended.job.on_end;
    this->jobs.erase(found);
    if (outcome.has_error() && outcome.error().code == error_code::no_replica)
    {
        this->hooks.leaving();
    }
    const bool failed =
        outcome.has_error() && is_replica_failure(outcome.error());
    this->decisions.finish(id, end_of(outcome, failed, whole),
                           net::event_loop::now());
    if (failed)
    {
        log_event(log_level::warning, "backend_failed",
                  {{"replica", this->info.id.str()},
                   {"reason", to_string(outcome.error().code)},
                   {"message", outcome.error().message}});
    }
    if (wanted)
    {
        callback(std::move(outcome));
    }
    this->run_commands();
}

void replica_runner::handle_stopped(work_id id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
    {
        return;
    }
    entry& stopped = found->second;
    // Both calls may be in one of their callbacks, so they end afterwards.
    this->context.loop.free_later(std::move(stopped.call));
    this->context.loop.free_later(std::move(stopped.stop_call));
    if (!stopped.wanted)
    {
        this->jobs.erase(found);
    }
    this->decisions.finish(id, work_end::cancelled, net::event_loop::now());
    this->run_commands();
}

} // namespace parsleytrack
