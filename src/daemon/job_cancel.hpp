#pragma once

#include "daemon/job_store.hpp"
#include "net/http_exchange.hpp"

#include <functional>
#include <memory>

namespace parsleytrack
{

/// One request to cancel a job: commits the flag in the job's record, then
/// has all owners told.
class job_cancel : public std::enable_shared_from_this<job_cancel>
{
public:
    /// \param jobs Keeps the record.
    /// \param exchange The request to answer.
    /// \param cancelled_job The job.
    /// \param tell_owners Called once the cancel is committed.
    job_cancel(job_store& jobs, std::shared_ptr<net::http_exchange> exchange,
               job_id cancelled_job, std::function<void()> tell_owners);

    /// Begins; keeps itself alive until the request is answered.
    void start();

private:
    void handle_job(const result<std::optional<seen_job_record>>& answer);
    void handle_swap(const result<std::optional<seen_job_record>>& answer);
    void respond(const job_record& record);

    job_store& records;
    std::shared_ptr<net::http_exchange> request;
    job_id job;
    std::function<void()> tell;
    int tries = 0;
    bool may_be_written = false;
};

} // namespace parsleytrack
