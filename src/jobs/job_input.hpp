#pragma once

#include "jobs/job_item.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// A job as submitted; never changes.
struct job_input
{
    job_id id;
    std::string route_name;
    std::string host;
    std::vector<job_item> items;
    /// Time of the accepted submission, in Unix milliseconds; for operators
    /// only, since the clocks of instances may jump.
    std::int64_t submitted_at_ms = 0;
    /// Version of the configuration by which the job was accepted; 0 in records
    /// of earlier releases.
    configuration_version accepted_by;
    /// Whose job it is; empty if the configuration had no workspaces.
    workspace_name workspace;
};

} // namespace parsleytrack::jobs
