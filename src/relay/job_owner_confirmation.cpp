// How an owner learns that the job's state is recent, before it sends items and
// before it says that there are no more results.

#include "jobs/job_codec.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"
#include "relay/job_owner.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Age of the knowledge that there are no more results, counted from when the
/// call was sent that brought it. A second after a result was read, no node may
/// give a page without it; half of that is left for the way to the caller.
constexpr duration max_page_age = std::chrono::milliseconds(500);
/// How long a page waits for the job's state. The node that asks reads the
/// store itself somewhat later.
constexpr duration confirmation_timeout = std::chrono::milliseconds(300);

error unknown_results()
{
    return error{error_code::store_unavailable,
                 "it is not known whether the job has more results",
                 ran_state::no, std::chrono::milliseconds(500)};
}

error results_in_store()
{
    return error{error_code::store_unavailable,
                 "the results are in the store only", ran_state::no,
                 std::chrono::milliseconds(500)};
}

} // namespace

void job_owner::confirm_state()
{
    if (this->unconfirmed_items.size() == 1)
    {
        this->state_wait.start(net::event_loop::now());
        this->state_timer = this->context.loop.call_every(
            running_wait::check_interval, [this] { this->check_state_wait(); });
    }
    this->read_state();
}

void job_owner::check_state_wait()
{
    if (this->unconfirmed_items.empty())
    {
        this->state_timer.cancel();
        return;
    }
    const time_point now = net::event_loop::now();
    if (this->state_wait.check(now))
    {
        this->confirmation.record_outage(now);
    }
    if (const auto limit = this->start_limit())
    {
        this->state_timer.cancel();
        this->resume_items(limit);
        return;
    }
    this->read_state();
}

void job_owner::read_state()
{
    if (std::exchange(this->is_reading_state, true))
    {
        return;
    }
    this->context.store.get(
        job_state_key(this->owned.input().id),
        key_value::read_freshness::latest,
        [this, observed = this->alive, sent = net::event_loop::now()](
            const result<key_value::stored_record>& record)
        {
            if (!*observed)
            {
                return;
            }
            this->is_reading_state = false;
            if (record.has_error())
            {
                // Read again at the next check while items wait.
                this->fail_unconfirmed();
                return;
            }
            const bool is_unchanged = this->is_unchanged(record.value());
            const bool has_same_outcomes =
                this->has_same_outcomes(record.value());
            if (is_unchanged)
            {
                this->confirmation.confirm(sent);
            }
            if (has_same_outcomes)
            {
                this->confirm_outcomes(sent);
            }
            this->fail_unconfirmed();
            if (is_unchanged && !has_same_outcomes)
            {
                // A commit of unknown outcome was applied, which the next one
                // finds out.
                this->resume_items(this->start_limit());
                return;
            }
            this->handle_state(record.value());
        });
}

bool job_owner::is_unchanged(const key_value::stored_record& record) const
{
    const auto state = jobs::decode_state(record.value);
    return state.has_value() && !state.value().cancelled &&
           state.value().owner == this->owned.state().owner &&
           state.value().owner_process == this->owned.state().owner_process;
}

bool job_owner::has_same_outcomes(const key_value::stored_record& record) const
{
    const auto state = jobs::decode_state(record.value);
    return state.has_value() &&
           state.value().outcomes.size() == this->owned.state().outcomes.size();
}

void job_owner::handle_state(const key_value::stored_record& record)
{
    // Ends the runs of a job that is cancelled or has another owner.
    this->apply_record(record);
    if (!jobs::decode_state(record.value).has_value())
    {
        log_event(log_level::error, "job_record_missing",
                  {{"job", this->owned.input().id.str()},
                   {"revision", record.revision.count()}});
        this->end_runs();
        this->fail_unconfirmed();
        this->lost_callback();
        return;
    }
    this->resume_items(this->start_limit());
}

void job_owner::resume_items(std::optional<time_point> send_by)
{
    for (const std::size_t item : std::exchange(this->unconfirmed_items, {}))
    {
        const auto run = this->runs.find(item);
        if (run != this->runs.end())
        {
            run->second->handle_confirmation(send_by);
        }
    }
}

void job_owner::read(std::size_t after, duration wait, page_callback callback)
{
    this->readers.read(after, wait,
                       [this, after, callback = std::move(callback)](
                           const std::optional<jobs::job_page>& page)
                       {
                           if (!page)
                           {
                               callback(results_in_store());
                               return;
                           }
                           if (!page->results.empty() ||
                               this->owned.state().is_finished())
                           {
                               // Committed results stay at their positions.
                               callback(*page);
                               return;
                           }
                           this->confirm_page(after, callback);
                       });
}

result<jobs::job_page> job_owner::page_from(std::size_t after) const
{
    auto page = this->owned.page(after, jobs::max_page_bytes);
    if (!page)
    {
        return results_in_store();
    }
    return std::move(*page);
}

void job_owner::confirm_page(std::size_t after, page_callback callback)
{
    const time_point now = net::event_loop::now();
    if (this->outcomes_confirmed_at &&
        now - *this->outcomes_confirmed_at <= max_page_age)
    {
        callback(this->page_from(after));
        return;
    }
    unconfirmed_reader& added = this->unconfirmed_readers.emplace_back();
    added.after = after;
    added.callback = std::move(callback);
    added.expiry = this->context.loop.call_after(
        confirmation_timeout,
        [this, entry = std::prev(this->unconfirmed_readers.end())]
        {
            const unconfirmed_reader expired = std::move(*entry);
            this->unconfirmed_readers.erase(entry);
            expired.callback(unknown_results());
        });
    this->read_state();
}

void job_owner::confirm_outcomes(time_point sent)
{
    this->outcomes_confirmed_at =
        std::max(this->outcomes_confirmed_at, std::optional(sent));
    if (net::event_loop::now() - sent > max_page_age)
    {
        // The process stood still, or the store is slow.
        return;
    }
    for (const unconfirmed_reader& reader :
         std::exchange(this->unconfirmed_readers, {}))
    {
        reader.callback(this->page_from(reader.after));
    }
}

void job_owner::fail_unconfirmed()
{
    for (const unconfirmed_reader& reader :
         std::exchange(this->unconfirmed_readers, {}))
    {
        reader.callback(unknown_results());
    }
}

} // namespace parsleytrack::relay
