#include "relay/job_cancellation.hpp"

#include "jobs/job_codec.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// The owner may commit results at the same time; after each conflict the state
/// is read again.
constexpr int max_attempts = 12;
constexpr duration commit_timeout = std::chrono::seconds(3);
constexpr duration retry_after = std::chrono::milliseconds(300);

} // namespace

job_cancellation::job_cancellation(const relay_context& node,
                                   usage_tracker& usages_of_routes)
    : context(node), usages(usages_of_routes)
{
}

void job_cancellation::cancel(const job_id& job, end_callback callback)
{
    this->read(job, 1, std::move(callback));
}

void job_cancellation::read(const job_id& job, int attempt,
                            end_callback callback)
{
    this->context.store.get(
        job_state_key(job), key_value::read_freshness::latest,
        [this, job, attempt, callback = std::move(callback)](
            const result<key_value::stored_record>& record)
        {
            if (record.has_error())
            {
                error reason = record.error();
                reason.retry_after = retry_after;
                callback(reason);
                return;
            }
            if (!record.value().exists())
            {
                callback(error{error_code::not_found,
                               "there is no job " + job.str(),
                               ran_state::no,
                               {}});
                return;
            }
            auto state = jobs::decode_state(record.value().value);
            if (state.has_error() || state.value().is_finished())
            {
                callback(std::move(state));
                return;
            }
            this->write(std::move(state.value()), record.value().revision,
                        attempt, callback);
        });
}

void job_cancellation::write(jobs::job_state state, store_revision revision,
                             int attempt, end_callback callback)
{
    const usage_tracker::usage usage =
        this->usages.get(jobs::account_of(state));
    const token_count remaining =
        std::max(token_count(0), usage.waiting - state.waiting_tokens);
    state.cancelled = true;
    state.waiting_tokens = token_count(0);
    const std::string usage_key = job_usage_key(jobs::account_of(state));
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(state.id), revision},
                              {usage_key, usage.revision}};
    transaction.puts = {{job_state_key(state.id), jobs::encode(state)},
                        {usage_key, jobs::encode_usage(remaining)}};
    this->context.store.commit(
        std::move(transaction), commit_timeout,
        [this, state, remaining, attempt, callback = std::move(callback)](
            const result<key_value::transaction_outcome>& outcome)
        {
            if (outcome.has_error())
            {
                error reason = outcome.error();
                reason.retry_after = retry_after;
                callback(reason);
                return;
            }
            if (outcome.value().applied)
            {
                this->usages.set(jobs::account_of(state),
                                 {remaining, outcome.value().revision});
                callback(state);
                return;
            }
            this->usages.update_from(jobs::account_of(state),
                                     outcome.value().current);
            if (attempt >= max_attempts)
            {
                callback(error{error_code::store_unavailable,
                               "too many concurrent changes of the job",
                               ran_state::no, retry_after});
                return;
            }
            this->read(state.id, attempt + 1, callback);
        });
}

} // namespace parsleytrack::relay
