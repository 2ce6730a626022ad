#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_state.hpp"
#include "key_value/record_client.hpp"
#include "key_value/record_transaction.hpp"
#include "units/time.hpp"

#include <cstdint>

namespace parsleytrack::relay
{

/// What a job's items have received so far, and how much of it the store knows.
class progress_tracker
{
public:
    /// \param job The job.
    /// \param known What the store knows.
    progress_tracker(job_id job, jobs::job_progress known, time_point now);

    /// \returns Progress of an item; new for one that has none.
    jobs::item_progress& progress_of(std::size_t item)
    {
        return this->items[item];
    }

    /// The item has ended.
    void erase(std::size_t item) { this->items.erase(item); }

    /// \returns Whether it is time to write what is new.
    bool is_due(time_point now) const { return now >= this->next_save; }

    /// Writes what the store does not know yet, if anything.
    ///
    /// \param store Outlives the call.
    /// \param revision That of the job's state, which must still hold.
    void save(key_value::record_client& store, store_revision revision);

    /// Adds what there is to a transaction, or erases a record that is of no
    /// more use. It counts as known from then on.
    void add_to(key_value::record_transaction& transaction, time_point now);

    /// \returns Whether the store does not know all of it.
    bool has_unsaved() const;

private:
    std::int64_t total_events() const;

    job_id job;
    jobs::job_progress items;
    /// Events of all items that the store knows of.
    std::int64_t saved_events = 0;
    time_point next_save;
};

} // namespace parsleytrack::relay
