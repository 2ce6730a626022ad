#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <vector>

namespace parsleytrack::routing
{

/// A request that lost its replica before its output.
struct crash_report
{
    request_id request;
    /// A replica that has restarted counts as another one.
    replica_process_id replica_process;
    /// What the request shares with others, the more specific traits last.
    std::vector<request_trait> traits;
    time_point at;

    bool operator==(const crash_report&) const = default;
};

} // namespace parsleytrack::routing
