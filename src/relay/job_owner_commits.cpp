// What a job's owner writes to the store, and what others have written there.

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_owner.hpp"
#include "relay/job_transaction.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// How long to look up the outcome of a commit whose response was lost, before
/// its results are written by a new transaction.
constexpr duration commit_timeout = std::chrono::seconds(10);
constexpr duration retry_pause = std::chrono::milliseconds(300);
/// How long a stopping node tries to name the next owner of a job.
constexpr duration handover_timeout = std::chrono::seconds(2);
constexpr int max_handover_attempts = 4;

} // namespace

void job_owner::write_next_owner()
{
    if (this->owned.is_committing())
    {
        // Called again with its outcome.
        return;
    }
    const usage_tracker::usage usage =
        this->usages.get(jobs::account_of(this->owned.state()));
    jobs::job_commit commit;
    commit.state = this->owned.state();
    commit.expected_revision = this->owned.revision();
    if (auto outcomes =
            this->owned.begin_commit(this->must_release_tokens(usage.waiting)))
    {
        commit = std::move(*outcomes);
    }
    commit.state.owner = this->next_owner->id;
    commit.state.owner_process = this->next_owner->process;
    commit.state.age = this->age();
    commit.state.configuration = this->newest_configuration();
    const token_count remaining =
        std::max(token_count(0), usage.waiting - commit.released_tokens);
    auto transaction =
        transaction_of(commit, usage_tracker::usage{remaining, usage.revision});
    this->progress.add_to(transaction, net::event_loop::now());
    this->context.store.commit(
        std::move(transaction), handover_timeout,
        [this, observed = this->alive, commit = std::move(commit)](
            const result<key_value::transaction_outcome>& outcome)
        {
            if (*observed)
            {
                this->handle_handover_outcome(commit, outcome);
            }
        });
}

void job_owner::handle_handover_outcome(
    const jobs::job_commit& commit,
    const result<key_value::transaction_outcome>& outcome)
{
    const bool applied = outcome.has_value() && outcome.value().applied;
    log_event(log_level::info,
              applied ? "job_handed_over" : "job_handover_failed",
              {{"job", commit.state.id.str()},
               {"next_owner", commit.state.owner.str()},
               {"reason", outcome.has_error() ? outcome.error().message
                                              : "the store responded"}});
    if (applied)
    {
        this->handed_over(*this->next_owner, outcome.value().revision);
        return;
    }
    if (!commit.results.empty())
    {
        this->owned.commit_failed(commit);
    }
    // Another node may have changed the usage of the route. If it has changed
    // the job, the conditions fail again.
    const bool usage_changed =
        outcome.has_value() &&
        this->usages.update_from(jobs::account_of(commit.state),
                                 outcome.value().current);
    if (usage_changed && ++this->handover_attempts < max_handover_attempts)
    {
        this->write_next_owner();
    }
}

void job_owner::commit()
{
    this->commit_is_scheduled = false;
    const usage_tracker::usage usage =
        this->usages.get(jobs::account_of(this->owned.state()));
    auto commit =
        this->owned.begin_commit(this->must_release_tokens(usage.waiting));
    if (!commit)
    {
        return;
    }
    commit->state.age = this->age();
    commit->state.configuration = this->newest_configuration();
    const token_count remaining =
        std::max(token_count(0), usage.waiting - commit->released_tokens);
    auto transaction = transaction_of(
        *commit, usage_tracker::usage{remaining, usage.revision});
    this->progress.add_to(transaction, net::event_loop::now());
    this->context.store.commit(
        std::move(transaction), commit_timeout,
        [this, observed = this->alive, commit = std::move(*commit), remaining,
         sent = net::event_loop::now()](
            const result<key_value::transaction_outcome>& outcome)
        {
            if (*observed)
            {
                const bool applied =
                    outcome.has_value() && outcome.value().applied;
                if (applied)
                {
                    this->confirmation.confirm(sent);
                }
                this->handle_commit_outcome(commit, remaining, outcome);
                if (applied)
                {
                    this->confirm_outcomes(sent);
                }
            }
        });
}

void job_owner::save_progress()
{
    // A commit in progress includes it, and changes the revision.
    if (!this->owned.is_committing() && !this->owned.state().is_finished())
    {
        this->progress.save(
            this->context.store, this->owned.revision(),
            [this, observed = this->alive](
                const std::vector<key_value::stored_record>& current)
            {
                if (*observed)
                {
                    this->apply_newer_state(current);
                }
            });
    }
}

void job_owner::apply_newer_state(
    const std::vector<key_value::stored_record>& current)
{
    for (const key_value::stored_record& record : current)
    {
        if (record.key == job_state_key(this->owned.input().id))
        {
            this->apply_record(record);
            return;
        }
    }
}

bool job_owner::must_release_tokens(token_count waiting) const
{
    const auto table = this->context.configuration.current();
    const routing::route* route =
        table ? table->find_by_name(this->owned.input().route_name) : nullptr;
    const token_count limit =
        route == nullptr ? token_count(0) : route->waiting_tokens_limit;
    // Up to half of the limit the tokens are released once, with the last item,
    // so that jobs rarely write to the same record.
    return limit > token_count(0) && waiting + waiting > limit;
}

void job_owner::handle_commit_outcome(
    const jobs::job_commit& commit, token_count usage,
    const result<key_value::transaction_outcome>& outcome)
{
    if (outcome.has_error())
    {
        this->owned.commit_failed(commit);
        log_event(log_level::warning, "job_commit_failed",
                  {{"job", commit.state.id.str()},
                   {"results", commit.results.size()},
                   {"reason", outcome.error().message}});
        this->retry_timer = this->context.loop.call_after(retry_pause, [this]
                                                          { this->commit(); });
        return;
    }
    if (!outcome.value().applied)
    {
        this->resolve_conflict(commit, outcome.value());
        return;
    }
    const store_revision revision = outcome.value().revision;
    this->owned.commit_applied(commit, revision);
    if (commit.released_tokens > token_count(0))
    {
        this->usages.set(jobs::account_of(commit.state), {usage, revision});
    }
    this->log_state("job_committed");
    this->readers.answer_ready();
    this->release_outputs();
    if (const auto newer = std::exchange(this->deferred_record, std::nullopt))
    {
        this->apply_record(*newer);
    }
    if (this->next_owner)
    {
        this->write_next_owner();
        return;
    }
    this->commit_when_due();
    // Items may have waited for the memory.
    this->start_items();
}

void job_owner::resolve_conflict(const jobs::job_commit& commit,
                                 const key_value::transaction_outcome& outcome)
{
    this->usages.update_from(jobs::account_of(commit.state), outcome.current);
    for (const key_value::stored_record& record : outcome.current)
    {
        if (record.key != job_state_key(commit.state.id) ||
            record.revision == commit.expected_revision)
        {
            continue;
        }
        const auto state = jobs::decode_state(record.value);
        if (state.has_value() && state.value().owner == commit.state.owner &&
            state.value().owner_process == commit.state.owner_process &&
            state.value().outcomes == commit.state.outcomes)
        {
            // The commit was applied, but its response was lost.
            this->owned.commit_applied(commit, record.revision);
            this->readers.answer_ready();
            this->release_outputs();
            if (state.value().cancelled)
            {
                this->apply_record(record);
            }
            this->commit();
            return;
        }
        this->owned.commit_failed(commit);
        this->apply_record(record);
        return;
    }
    this->owned.commit_failed(commit);
    this->commit();
}

void job_owner::apply_record(const key_value::stored_record& record)
{
    if (record.revision <= this->owned.revision())
    {
        return;
    }
    const auto state = jobs::decode_state(record.value);
    if (this->owned.is_committing())
    {
        // The record may be the one that the commit has written. Cancellations
        // are final.
        this->deferred_record = record;
        if (state.has_value() && state.value().cancelled)
        {
            this->end_runs();
        }
        return;
    }
    if (state.has_error())
    {
        log_event(log_level::error, "job_record_damaged",
                  {{"key", record.key}, {"reason", state.error().message}});
        return;
    }
    const jobs::job_state& now = state.value();
    const bool still_owned =
        now.owner == this->owned.state().owner &&
        now.owner_process == this->owned.state().owner_process &&
        now.outcomes.size() == this->owned.state().outcomes.size();
    if (!still_owned)
    {
        log_event(log_level::warning, "job_lost",
                  {{"job", now.id.str()},
                   {"owner", now.owner.str()},
                   {"revision", record.revision.count()}});
        this->end_runs();
        this->fail_unconfirmed();
        this->lost_callback();
        return;
    }
    this->owned.set_committed(now, record.revision);
    if (now.cancelled)
    {
        this->end_runs();
        return;
    }
    this->commit();
}

} // namespace parsleytrack::relay
