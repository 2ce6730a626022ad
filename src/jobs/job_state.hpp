#pragma once

#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// How an item ended.
struct item_outcome
{
    std::size_t item = 0;
    /// Whether there is an output; otherwise the item was abandoned.
    bool completed = false;

    bool operator==(const item_outcome&) const = default;
};

/// The committed state of a batch job, as stored in the platform's store. An
/// item ends with the commit that adds its outcome.
struct job_state
{
    job_id id;
    std::string route_name;
    node_id owner;
    /// The owner's process.
    process_number owner_process;
    bool cancelled = false;
    /// In the order in which results are read; append-only.
    std::vector<item_outcome> outcomes;
    /// Time of the accepted submission, in Unix milliseconds; for operators
    /// only, since the clocks of instances may jump.
    std::int64_t submitted_at_ms = 0;
    /// Lower bound of the job's age when this state was written.
    duration age = duration::zero();
    std::size_t item_count = 0;
    /// Tokens that the route's usage includes for this job; at least those of
    /// the items that have no outcome.
    token_count waiting_tokens;
    /// Whose job it is; empty if the configuration had no workspaces.
    workspace_name workspace;
    /// The newest version of the configuration that an owner has known; 0 in
    /// records of earlier releases.
    configuration_version configuration;

    bool is_finished() const
    {
        return this->cancelled || this->outcomes.size() >= this->item_count;
    }
};

} // namespace parsleytrack::jobs
