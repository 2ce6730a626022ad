#include "relay/job_cleaner.hpp"

#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// The store accepts 32 entries per transaction.
constexpr std::size_t max_erased_per_commit = 32;
/// Limits the load on the store.
constexpr std::size_t max_concurrent_erasures = 2;
constexpr duration commit_timeout = std::chrono::seconds(5);

} // namespace

job_cleaner::job_cleaner(const relay_context& node,
                         const jobs::job_ages& ages_of_jobs)
    : context(node), ages(ages_of_jobs)
{
}

void job_cleaner::erase_if_expired(const jobs::job_state& state,
                                   store_revision revision)
{
    const bool is_expired =
        this->ages.age_of(state.id, net::event_loop::now()) >
        this->context.settings.result_retention;
    if (!is_expired || this->erasing.size() >= max_concurrent_erasures ||
        !this->erasing.insert(state.id).second)
    {
        return;
    }
    this->erase_page(state.id, revision);
}

void job_cleaner::erase_page(const job_id& job, store_revision revision)
{
    this->context.store.list_page(
        job_output_prefix(job), {}, key_value::read_freshness::latest,
        [this, job, revision](const result<key_value::record_listing>& outputs)
        {
            if (outputs.has_error())
            {
                this->erasing.erase(job);
                return;
            }
            std::vector<std::string> keys;
            for (const auto& record : outputs.value().records)
            {
                keys.push_back(record.key);
            }
            this->erase_outputs(job, revision, std::move(keys),
                                outputs.value().truncated);
        });
}

void job_cleaner::erase_outputs(const job_id& job, store_revision revision,
                                std::vector<std::string> keys, bool has_more)
{
    if (keys.empty())
    {
        if (has_more)
        {
            this->erase_page(job, revision);
            return;
        }
        this->erase_records(job, revision);
        return;
    }
    key_value::record_transaction transaction;
    while (!keys.empty() && transaction.erased.size() < max_erased_per_commit)
    {
        transaction.erased.push_back(std::move(keys.back()));
        keys.pop_back();
    }
    this->commit(job, std::move(transaction),
                 [this, job, revision, keys = std::move(keys), has_more]
                 { this->erase_outputs(job, revision, keys, has_more); });
}

void job_cleaner::erase_records(const job_id& job, store_revision revision)
{
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(job), revision}};
    transaction.erased = {job_state_key(job), job_input_key(job),
                          job_progress_key(job)};
    this->commit(
        job, std::move(transaction),
        [this, job]
        {
            this->erasing.erase(job);
            log_event(log_level::info, "job_erased", {{"job", job.str()}});
        });
}

void job_cleaner::commit(const job_id& job,
                         key_value::record_transaction transaction,
                         std::function<void()> next)
{
    this->context.store.commit(
        std::move(transaction), commit_timeout,
        [this, job, next = std::move(next)](
            const result<key_value::transaction_outcome>& outcome)
        {
            if (outcome.has_value() && outcome.value().applied)
            {
                next();
                return;
            }
            log_event(log_level::info, "job_erasure_put_off",
                      {{"job", job.str()},
                       {"reason", outcome.has_error()
                                      ? outcome.error().message
                                      : "the job's record has changed"}});
            this->erasing.erase(job);
        });
}

} // namespace parsleytrack::relay
