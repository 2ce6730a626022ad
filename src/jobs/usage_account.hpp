#pragma once

#include "jobs/job_state.hpp"
#include "units/ids.hpp"

#include <compare>
#include <string>

namespace parsleytrack::jobs
{

/// What the waiting tokens of a job count towards: those of its workspace on
/// its route, or those of the route if there are no workspaces.
struct usage_account
{
    std::string route_name;
    workspace_name workspace;

    auto operator<=>(const usage_account&) const = default;
};

/// \returns The account of a job.
inline usage_account account_of(const job_state& state)
{
    return usage_account{state.route_name, state.workspace};
}

} // namespace parsleytrack::jobs
