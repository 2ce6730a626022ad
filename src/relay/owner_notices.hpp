#pragma once

#include "jobs/job_state.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <map>

namespace parsleytrack::relay
{

/// Decides when a node that scans the records of all jobs notifies a job's
/// owner, which may have missed a handover or a cancellation.
class owner_notices
{
public:
    /// \param state A record whose owner is alive.
    /// \param revision The record's revision.
    /// \returns Whether to notify the owner now. A cancellation is due at once.
    /// A record of an unfinished job is due when it has not changed for a
    /// while, since its owner may not know that it owns the job.
    bool is_due(const jobs::job_state& state, store_revision revision,
                time_point now);

    /// Forgets jobs that were not asked about since a time.
    void forget_before(time_point limit);

private:
    struct seen_record
    {
        store_revision revision;
        time_point first_seen;
        time_point last_seen;
        time_point next_notice;
    };

    std::map<job_id, seen_record> records;
};

} // namespace parsleytrack::relay
