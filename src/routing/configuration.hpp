#pragma once

#include "routing/caller_limits.hpp"
#include "routing/route.hpp"
#include "routing/service.hpp"
#include "units/numbers.hpp"
#include "workspaces/workspace_directory.hpp"

#include <vector>

namespace parsleytrack::routing
{

/// One complete version of the configuration that operators have set.
struct configuration
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// Empty when callers need no key.
    workspaces::workspace_directory workspaces;
};

} // namespace parsleytrack::routing
