#include "relay/job_owner.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_transaction.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// Outcomes are collected for this long before they are committed, to reduce
/// calls to the store; items that a failed node did not commit run again.
constexpr duration commit_interval = std::chrono::milliseconds(1500);
/// This close to the job's due time each outcome is committed at once.
constexpr duration urgent_before_due = std::chrono::seconds(4);
/// A store that has not answered reads for this long counts as away for this
/// node: twice the slowest answers of a store that works, which take 200 ms.
constexpr duration state_timeout = std::chrono::milliseconds(400);

/// \returns The progress of items that have no outcome.
jobs::job_progress without_ended(jobs::job_progress known,
                                 const jobs::job_state& state)
{
    for (const jobs::item_outcome& outcome : state.outcomes)
    {
        known.erase(outcome.item);
    }
    return known;
}

} // namespace

job_owner::job_owner(const relay_context& node, slot_client& slot_source,
                     usage_tracker& usages_of_routes,
                     const jobs::job_ages& ages_of_jobs,
                     budgets::byte_budget& outputs, jobs::owned_job owned_job,
                     jobs::job_progress known, std::function<void()> on_lost)
    : context(node), slots(slot_source), usages(usages_of_routes),
      ages(ages_of_jobs), output_budget(outputs), output_claim(outputs),
      owned(std::move(owned_job)), lost_callback(std::move(on_lost)),
      progress(this->owned.input().id,
               without_ended(std::move(known), this->owned.state()),
               net::event_loop::now()),
      readers(node.loop, this->owned), state_wait(state_timeout)
{
    this->claim_outputs();
}

job_owner::~job_owner()
{
    *this->alive = false;
}

void job_owner::start_items()
{
    if (this->stopped || this->owned.state().is_finished() ||
        this->context.link.is_stranded())
    {
        return;
    }
    const auto table = this->context.configuration.current();
    if (!table)
    {
        return;
    }
    const jobs::job_input& input = this->owned.input();
    const routing::route* route = this->current_route();
    const bool expired = route != nullptr &&
                         route->retention > duration::zero() &&
                         this->age() > route->retention;
    if (table->contents().version < this->owned.newest_configuration())
    {
        // The configuration by which the job was accepted, or that its last
        // owner had, has not arrived yet.
        return;
    }
    if (route == nullptr || expired)
    {
        log_event(log_level::warning, "job_given_up",
                  {{"job", input.id.str()},
                   {"reason", route == nullptr ? "route_removed" : "expired"},
                   {"age_ms", to_milliseconds(this->age())}});
        this->return_running_items();
        this->owned.abandon_waiting_items();
        this->commit();
        return;
    }
    if (this->progress.is_due(net::event_loop::now()))
    {
        this->save_progress();
    }
    this->run_target = route->run_target;
    this->max_failures = route->max_attempts;
    this->log_waiting_runs();
    const time_point now = net::event_loop::now();
    while (this->may_start_item())
    {
        const auto item = this->owned.start_next_item(
            [this, now](std::size_t waiting)
            { return this->retries.may_start(waiting, now); });
        if (!item)
        {
            this->schedule_start();
            return;
        }
        this->start_item(*item, this->assign(*item, *route));
    }
}

void job_owner::schedule_start()
{
    const time_point now = net::event_loop::now();
    if (const auto next = this->retries.next_start(now))
    {
        this->start_timer = this->context.loop.call_after(
            *next - now, [this] { this->start_items(); });
    }
}

void job_owner::start_item(std::size_t item, const item_assignment& assignment)
{
    const jobs::job_input& input = this->owned.input();
    this->confirm_version(item);
    const service_name& service = assignment.service;
    const std::set<replica_id> usable = this->usable_replicas(item, service);
    auto run = std::make_unique<item_run>(
        this->context, this->slots, input.items[item], input.host,
        input.workspace, this->progress.progress_of(item),
        item_run::callbacks{
            [this, item] { return this->may_send(item); },
            [this, item] { return this->keeps_service(item); },
            [this]
            {
                this->claim_outputs();
                return this->output_claim.has_room();
            },
            [this, item](item_run_result end, const std::string& reason)
            {
                this->handle_item_end(item, end, reason);
            }});
    item_run& started = *run;
    this->runs[item] = std::move(run);
    started.start(assignment, this->due_in(),
                  this->avoided_replicas(item, service, usable));
}

void job_owner::handle_item_end(std::size_t item, item_run_result end,
                                const std::string& reason)
{
    const auto found = this->runs.find(item);
    if (found == this->runs.end())
    {
        // See return_running_items(); the item has been returned.
        return;
    }
    auto run = std::move(found->second);
    this->runs.erase(found);
    jobs::item_progress& known = this->progress.progress_of(item);
    const replica_id& replica = run->last_replica();
    const time_point now = net::event_loop::now();
    const char* outcome = "completed";
    this->hold_unconfirmed(item, *run);
    switch (end)
    {
    case item_run_result::completed:
        known.output.shrink_to_fit();
        this->owned.complete_item(item, std::move(known.output));
        this->forget(item);
        this->raise_run_limit();
        break;
    case item_run_result::impossible:
        outcome = "impossible";
        this->owned.abandon_item(item);
        this->forget(item);
        break;
    case item_run_result::failed:
        outcome = "failed";
        this->retries.record_error(item, replica, now);
        if (this->owned.fail_item(item, this->max_failures))
        {
            outcome = "given_up";
            this->forget(item);
        }
        break;
    case item_run_result::rejected:
        outcome = "interrupted";
        this->retries.record_error(item, replica, now);
        this->owned.return_item(item);
        break;
    case item_run_result::refused:
        outcome = "interrupted";
        this->retries.record_refusal(item, replica, now);
        this->owned.return_item(item);
        break;
    case item_run_result::lost:
        outcome = "interrupted";
        this->retries.record_loss(item, replica, now);
        this->owned.return_item(item);
        break;
    case item_run_result::out_of_memory:
        this->lower_run_limit();
        [[fallthrough]];
    case item_run_result::interrupted:
        outcome = "interrupted";
        this->retries.record_interruption(item, now);
        this->owned.return_item(item);
        break;
    }
    this->claim_outputs();
    this->log_run_end(item, *run, outcome, reason);
    // Freed later, since this is one of its callbacks.
    this->context.loop.free_later(std::move(run));
    this->context.metrics.count("parsleytrack_item_runs_total",
                                {{"outcome", outcome}});
    this->commit_when_due();
    this->start_timer = this->context.loop.call_after(duration::zero(), [this]
                                                      { this->start_items(); });
}

void job_owner::stop(const std::optional<node_info>& next,
                     handed_over_callback on_handed_over)
{
    this->end_runs();
    this->next_owner = next;
    this->handed_over = std::move(on_handed_over);
    if (this->owned.state().is_finished())
    {
        return;
    }
    if (this->next_owner)
    {
        this->write_next_owner();
    }
    else if (this->owned.has_uncommitted())
    {
        this->commit();
    }
    else
    {
        this->save_progress();
    }
}

void job_owner::end_runs()
{
    this->stopped = true;
    this->return_running_items();
    this->readers.answer_all();
    this->log_state("job_let_go");
}

void job_owner::return_running_items()
{
    this->unconfirmed_items.clear();
    // The slot of a run that is destroyed here may go to one that is destroyed
    // next, which must neither send its item nor report an end.
    for (const auto& [item, run] : std::exchange(this->runs, {}))
    {
        this->hold_unconfirmed(item, *run);
        this->owned.return_item(item);
    }
    this->claim_outputs();
}

std::optional<time_point> job_owner::may_send(std::size_t item)
{
    if (!this->runs.contains(item))
    {
        return std::nullopt;
    }
    const auto limit = this->start_limit();
    if (!limit)
    {
        this->unconfirmed_items.push_back(item);
        this->confirm_state();
    }
    return limit;
}

std::optional<time_point> job_owner::start_limit()
{
    if (const auto failed_call = this->context.store.last_call_in_outage())
    {
        this->confirmation.record_outage(*failed_call);
    }
    return this->confirmation.start_limit(net::event_loop::now(),
                                          replica_exchange::send_timeout);
}

void job_owner::commit_when_due()
{
    if (!this->owned.has_uncommitted())
    {
        return;
    }
    const bool is_last = this->runs.empty() && !this->owned.has_waiting_item();
    if (is_last || this->owned.has_uncommitted_failure() ||
        this->owned.uncommitted_bytes() >= jobs::max_page_bytes ||
        this->due_in() < urgent_before_due)
    {
        this->commit();
        return;
    }
    if (!std::exchange(this->commit_is_scheduled, true))
    {
        this->commit_timer = this->context.loop.call_after(
            commit_interval, [this] { this->commit(); });
    }
}

duration job_owner::due_in() const
{
    return this->run_target - this->age();
}

duration job_owner::age() const
{
    return this->ages.age_of(this->owned.input().id, net::event_loop::now());
}

void job_owner::log_run_end(std::size_t item, const item_run& run,
                            const char* outcome,
                            const std::string& reason) const
{
    const time_point now = net::event_loop::now();
    const net::connection_use link = run.last_connection();
    log_event(
        log_level::info, "item_run_ended",
        {{"job", this->owned.input().id.str()},
         {"item", this->owned.input().items[item].id},
         {"outcome", outcome},
         {"replica", run.last_replica().str()},
         {"version", run.last_version().str()},
         {"connection", link.connection},
         {"earlier_requests", link.earlier_requests},
         {"run_ms", run.sent_at() ? to_milliseconds(now - *run.sent_at()) : -1},
         {"failures", this->owned.failures_of(item)},
         {"state_age_ms",
          to_milliseconds(this->confirmation.age(now).value_or(duration(-1)))},
         {"reason", reason}});
}

void job_owner::log_state(const char* event) const
{
    const jobs::job_state& state = this->owned.state();
    log_event(log_level::info, event,
              {{"job", state.id.str()},
               {"outcomes", state.outcomes.size()},
               {"items", state.item_count},
               {"cancelled", state.cancelled ? "yes" : "no"},
               {"revision", this->owned.revision().count()},
               {"age_ms", to_milliseconds(this->age())}});
}

} // namespace parsleytrack::relay
