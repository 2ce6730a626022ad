#pragma once

#include "daemon/job_store.hpp"

#include <functional>
#include <memory>

namespace parsleytrack
{

/// Writes a new job to the platform's store: its entry in the list of open
/// jobs, then its record.
class job_creation : public std::enable_shared_from_this<job_creation>
{
public:
    /// Gets the record that the store holds now, which is another one when the
    /// job had been created before.
    using callback = std::function<void(const result<job_record>&)>;

    /// \param node What the modules share.
    /// \param jobs Keeps the record.
    /// \param created_job The job.
    /// \param job_to_write Its record.
    /// \param on_end Called once, unless abandon() came first.
    job_creation(node_context& node, job_store& jobs, job_id created_job,
                 job_record job_to_write, callback on_end);

    /// Begins; keeps itself alive until it ends.
    void start();

    /// The record is not written any more, unless that has begun.
    void abandon() { this->abandoned = true; }

private:
    void check_entry();
    void write_record();
    void handle_record(const result<std::optional<seen_job_record>>& answer);

    node_context& context;
    job_store& records;
    job_id job;
    job_record record;
    callback end;
    bool abandoned = false;
};

} // namespace parsleytrack
