#include "daemon/job_creation.hpp"

#include "daemon/job_codec.hpp"

#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration ask_again_after = std::chrono::seconds(5);

} // namespace

job_creation::job_creation(node_context& node, job_store& jobs,
                           job_id created_job, job_record job_to_write,
                           callback on_end)
    : context(node), records(jobs), job(std::move(created_job)),
      record(std::move(job_to_write)), end(std::move(on_end))
{
}

void job_creation::start()
{
    // Before the job's record: an entry without a job does no harm, a job
    // without an entry would not be found when this node dies.
    this->context.store.compare_and_swap(
        open_job_key(this->context.settings.region, this->job),
        store_revision(), std::to_string(this->record.created_ms),
        key_value::store_lease(),
        [self = this->shared_from_this()](
            const result<key_value::swap_outcome>& answer)
        {
            if (self->abandoned)
            {
                return;
            }
            if (answer.has_value())
            {
                self->write_record();
            }
            else if (answer.error().code == error_code::store_outcome_unknown)
            {
                self->check_entry();
            }
            else
            {
                self->end(answer.error());
            }
        });
}

void job_creation::check_entry()
{
    this->context.store.get(
        open_job_key(this->context.settings.region, this->job),
        [self = this->shared_from_this()](
            const result<std::optional<key_value::versioned_value>>& answer)
        {
            if (self->abandoned)
            {
                return;
            }
            if (answer.has_value() && answer.value())
            {
                self->write_record();
                return;
            }
            self->end(error{error_code::store_unavailable,
                            "the platform's store did not take the job",
                            ran_state::no, ask_again_after});
        });
}

void job_creation::write_record()
{
    this->records.swap_job(
        this->job, store_revision(), this->record,
        [self = this->shared_from_this()](
            const result<std::optional<seen_job_record>>& answer)
        { self->handle_record(answer); });
}

void job_creation::handle_record(
    const result<std::optional<seen_job_record>>& answer)
{
    if (answer.has_error())
    {
        this->end(answer.error());
        return;
    }
    if (!answer.value())
    {
        this->end(error{error_code::store_outcome_unknown,
                        "the job's record vanished as it was written",
                        ran_state::unknown, ask_again_after});
        return;
    }
    this->end(answer.value()->record);
}

} // namespace parsleytrack
