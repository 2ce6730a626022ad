#include "relay/job_transaction.hpp"

#include "jobs/job_codec.hpp"
#include "relay/job_keys.hpp"

namespace parsleytrack::relay
{

key_value::record_transaction transaction_of(const jobs::job_commit& commit,
                                             usage_tracker::usage usage)
{
    const job_id& job = commit.state.id;
    const std::string usage_key = job_usage_key(jobs::account_of(commit.state));
    key_value::record_transaction transaction;
    transaction.conditions = {{job_state_key(job), commit.expected_revision}};
    transaction.puts = {{job_state_key(job), jobs::encode(commit.state)}};
    if (commit.released_tokens > token_count(0))
    {
        transaction.conditions.push_back({usage_key, usage.revision});
        transaction.puts.push_back(
            {usage_key, jobs::encode_usage(usage.waiting)});
    }
    for (std::size_t index = 0; index < commit.results.size(); ++index)
    {
        transaction.puts.push_back(key_value::record_put{
            job_output_key(job, commit.first_position + index),
            jobs::encode_output(commit.results[index],
                                commit.state.item_count)});
    }
    return transaction;
}

} // namespace parsleytrack::relay
