#pragma once

#include "jobs/job_ages.hpp"
#include "jobs/job_state.hpp"
#include "relay/relay_context.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Erases the records of jobs whose results have been kept long enough.
class job_cleaner
{
public:
    /// \param node Outlives this object.
    /// \param ages Outlives this object.
    job_cleaner(const relay_context& node, const jobs::job_ages& ages);

    /// Erases a finished job if it has been kept long enough.
    ///
    /// \param revision Revision of the job's state.
    void erase_if_expired(const jobs::job_state& state,
                          store_revision revision);

private:
    /// Reads a page of the job's results and erases them.
    void erase_page(const job_id& job, store_revision revision);
    /// \param has_more Whether results follow these.
    void erase_outputs(const job_id& job, store_revision revision,
                       std::vector<std::string> keys, bool has_more);
    void erase_records(const job_id& job, store_revision revision);
    void commit(const job_id& job, key_value::record_transaction transaction,
                std::function<void()> next);

    const relay_context& context;
    const jobs::job_ages& ages;
    std::set<job_id> erasing;
};

} // namespace parsleytrack::relay
