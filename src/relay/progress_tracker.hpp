#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_state.hpp"
#include "key_value/record_client.hpp"
#include "key_value/record_transaction.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace parsleytrack::relay
{

/// Tracks the output received for a job's items, and how much of it is saved.
class progress_tracker
{
public:
    /// \param known The progress that is in the store.
    progress_tracker(job_id job, jobs::job_progress known, time_point now);

    /// \returns Progress of an item; created if it has none.
    jobs::item_progress& progress_of(std::size_t item)
    {
        return this->items[item];
    }

    /// Removes an item that has ended.
    void erase(std::size_t item) { this->items.erase(item); }

    /// \returns The bytes of memory that all outputs take.
    std::size_t output_bytes() const;

    /// \returns Whether it is time to save new progress.
    bool is_due(time_point now) const { return now >= this->next_save; }

    /// Writes the progress to the store if there is unsaved progress.
    ///
    /// \param store Outlives the call.
    /// \param revision Revision that the job's state must still have.
    /// \param on_conflict Called with the newer records if it has another one.
    void save(key_value::record_client& store, store_revision revision,
              std::function<void(const std::vector<key_value::stored_record>&)>
                  on_conflict);

    /// Adds the progress to a transaction, or erases its record if no item
    /// needs it any more. The progress counts as saved from then on.
    void add_to(key_value::record_transaction& transaction, time_point now);

    /// \returns Whether there is unsaved progress.
    bool has_unsaved() const;

private:
    std::int64_t total_events() const;

    job_id job;
    jobs::job_progress items;
    /// Saved events of all items.
    std::int64_t saved_events = 0;
    time_point next_save;
};

} // namespace parsleytrack::relay
