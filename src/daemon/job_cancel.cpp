#include "daemon/job_cancel.hpp"

#include "logging/log.hpp"
#include "net/error_response.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack
{

namespace
{

/// The record changes at most twice in its life, so that one repetition is
/// enough but for a store that loses answers.
constexpr int max_tries = 5;
constexpr duration ask_again_after = std::chrono::seconds(2);

} // namespace

job_cancel::job_cancel(job_store& jobs,
                       std::shared_ptr<net::http_exchange> exchange,
                       job_id cancelled_job, std::function<void()> tell_owners)
    : records(jobs), request(std::move(exchange)),
      job(std::move(cancelled_job)), tell(std::move(tell_owners))
{
}

void job_cancel::start()
{
    this->records.read_job(
        this->job, [self = this->shared_from_this()](
                       const result<std::optional<seen_job_record>>& answer)
        { self->handle_job(answer); });
}

void job_cancel::handle_job(
    const result<std::optional<seen_job_record>>& answer)
{
    if (answer.has_error())
    {
        respond_error(*this->request, answer.error());
        return;
    }
    if (!answer.value())
    {
        respond_error(*this->request,
                      error{error_code::not_found,
                            "there is no job " + this->job.str(),
                            ran_state::no,
                            {}});
        return;
    }
    const seen_job_record& seen = *answer.value();
    if (seen.record.cancelled || seen.record.ended)
    {
        this->respond(seen.record);
        return;
    }
    if (++this->tries > max_tries)
    {
        respond_error(*this->request,
                      error{error_code::store_unavailable,
                            "the job's record could not be changed",
                            ran_state::no, ask_again_after});
        return;
    }
    job_record next = seen.record;
    next.cancelled = true;
    this->records.swap_job(
        this->job, seen.revision, next,
        [self = this->shared_from_this()](
            const result<std::optional<seen_job_record>>& outcome)
        { self->handle_swap(outcome); });
}

void job_cancel::handle_swap(
    const result<std::optional<seen_job_record>>& answer)
{
    if (answer.has_error())
    {
        if (answer.error().code == error_code::store_outcome_unknown)
        {
            this->may_be_written = true;
            this->start();
            return;
        }
        respond_error(*this->request, answer.error());
        return;
    }
    if (!answer.value() ||
        !(answer.value()->record.cancelled || answer.value()->record.ended))
    {
        this->start();
        return;
    }
    log_event(log_level::info, "batch_job_cancelled",
              {{"job", this->job.str()}});
    this->respond(answer.value()->record);
}

void job_cancel::respond(const job_record& record)
{
    if (record.cancelled)
    {
        // Also for a repeated request, whose first messages may be lost.
        this->tell();
    }
    const char* status = record.ended
                             ? (record.cancelled ? "cancelled" : "completed")
                             : "cancelling";
    const nlohmann::json body{
        {"id", this->job.str()}, {"status", status}, {"items", record.items}};
    this->request->respond_json(200, body.dump());
}

} // namespace parsleytrack
