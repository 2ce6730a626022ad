#include "relay/progress_tracker.hpp"

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "net/event_loop.hpp"
#include "relay/job_keys.hpp"

#include <string>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// The progress of running items is saved this often, in addition to commits of
/// outcomes: an item runs for about five seconds, and work that a failed node
/// did not save is done again.
constexpr duration save_interval = std::chrono::milliseconds(2500);
/// The same while the version of an item is not confirmed: what is saved of it
/// until then cannot be used, so waiting for the whole interval would cost up
/// to five seconds of work.
constexpr duration unconfirmed_save_interval = std::chrono::milliseconds(750);
/// Progress that cannot be saved within this time is out of date.
constexpr duration save_timeout = std::chrono::seconds(1);
/// A quarter of the largest value that the store accepts.
constexpr std::size_t max_record_bytes = 256 * 1024;

} // namespace

progress_tracker::progress_tracker(job_id owner, jobs::job_progress known,
                                   time_point now)
    : job(std::move(owner)), items(std::move(known)),
      next_save(now + save_interval)
{
    this->saved_events = this->total_events();
}

bool progress_tracker::has_unsaved() const
{
    return this->total_events() != this->saved_events;
}

void progress_tracker::save(
    key_value::record_client& store, store_revision revision,
    std::function<void(const std::vector<key_value::stored_record>&)>
        on_conflict)
{
    if (!this->has_unsaved())
    {
        return;
    }
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(this->job), revision}};
    this->add_to(transaction, net::event_loop::now());
    store.commit(std::move(transaction), save_timeout,
                 [job = this->job, on_conflict = std::move(on_conflict)](
                     const result<key_value::transaction_outcome>& outcome)
                 {
                     if (outcome.has_error() || !outcome.value().applied)
                     {
                         log_event(
                             log_level::info, "job_progress_not_saved",
                             {{"job", job.str()},
                              {"reason", outcome.has_error()
                                             ? outcome.error().message
                                             : "the record has changed"}});
                     }
                     if (outcome.has_value() && !outcome.value().applied)
                     {
                         on_conflict(outcome.value().current);
                     }
                 });
}

void progress_tracker::add_to(key_value::record_transaction& transaction,
                              time_point now)
{
    jobs::job_progress kept;
    std::size_t bytes = 0;
    duration interval = save_interval;
    for (const auto& [item, known] : this->items)
    {
        bytes += known.output.size();
        if (known.last_event > 0 && known.version.empty())
        {
            interval = unconfirmed_save_interval;
        }
        if (known.last_event > 0 && bytes <= max_record_bytes)
        {
            kept.emplace(item, known);
        }
    }
    const std::string key = job_progress_key(this->job);
    if (!kept.empty())
    {
        transaction.puts.push_back({key, jobs::encode(kept)});
    }
    else if (this->saved_events > 0)
    {
        transaction.erased.push_back(key);
    }
    this->saved_events = this->total_events();
    this->next_save = now + interval;
}

std::size_t progress_tracker::output_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [item, known] : this->items)
    {
        bytes += known.output.capacity();
    }
    return bytes;
}

std::int64_t progress_tracker::total_events() const
{
    std::int64_t events = 0;
    for (const auto& [item, known] : this->items)
    {
        events += known.last_event;
    }
    return events;
}

} // namespace parsleytrack::relay
