#pragma once

#include "daemon/node_context.hpp"
#include "daemon/storage_module.hpp"
#include "decisions/job_progress.hpp"
#include "decisions/lot_swap_outcome.hpp"
#include "decisions/seen_job_record.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleytrack
{

/// Reads and writes the records of jobs and lots. Each written record is also
/// left with keepers, so that it can be read in an outage of the store.
class job_store
{
public:
    using job_callback =
        std::function<void(result<std::optional<seen_job_record>>)>;
    using lot_callback =
        std::function<void(result<std::optional<seen_lot_record>>)>;
    using swap_job_callback =
        std::function<void(result<std::optional<seen_job_record>>)>;
    using swap_lot_callback = std::function<void(result<lot_swap_outcome>)>;
    using progress_callback =
        std::function<void(result<std::optional<job_progress>>)>;

    job_store(node_context& node, storage_module& segments);

    /// Reads a job's record from the store.
    void read_job(const job_id& job, job_callback callback);

    /// Writes a job's record if it still has the expected revision.
    ///
    /// \param expected 0 for "absent".
    /// \param callback Gets the record that the store holds now, be it the new
    /// one or another.
    void swap_job(const job_id& job, store_revision expected,
                  const job_record& next, swap_job_callback callback);

    /// Reads a lot's record from the store.
    void read_lot(const job_id& job, int lot, lot_callback callback);

    /// Writes a lot's record if it still has the expected revision.
    void swap_lot(const job_id& job, int lot, store_revision expected,
                  const lot_record& next, swap_lot_callback callback);

    /// Reads a job's record and those of its lots, from the store or, when it
    /// cannot be reached, from the keepers' copies.
    ///
    /// \param callback Gets nothing when there is no such job.
    void read_progress(const job_id& job, progress_callback callback);

    /// Reads the records of a job's lots from the store.
    ///
    /// \param job The job.
    /// \param record The job's record.
    void read_lots(const job_id& job, const job_record& record,
                   std::function<void(result<job_progress>)> callback);

private:
    void keep_copy(const std::string& name, store_revision revision,
                   std::string bytes);
    void read_copies(const job_id& job, const error& reason,
                     progress_callback callback);
    void list_lots(const job_id& job, const std::string& after,
                   std::shared_ptr<job_progress> progress,
                   std::function<void(result<job_progress>)> callback);

    node_context& context;
    storage_module& storage;
};

} // namespace parsleytrack
