#pragma once

#include "jobs/job_state.hpp"
#include "relay/relay_context.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Erases the records of jobs whose results need not be kept any longer.
class job_cleaner
{
public:
    /// \param node Outlives this object.
    explicit job_cleaner(const relay_context& node);

    /// Looks at a finished job, and erases it if it is old enough and falls to
    /// this node.
    ///
    /// \param revision The revision of the job's state.
    void erase_if_expired(const jobs::job_state& state,
                          store_revision revision);

private:
    void erase_outputs(const job_id& job, store_revision revision,
                       std::vector<std::string> keys);
    void erase_records(const job_id& job, store_revision revision);
    void commit(const job_id& job, key_value::record_transaction transaction,
                std::function<void()> next);

    const relay_context& context;
    std::set<job_id> erasing;
};

} // namespace parsleytrack::relay
