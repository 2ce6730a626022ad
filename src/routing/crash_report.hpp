#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <vector>

namespace parsleytrack::routing
{

/// A request that lost its replica before the end of its response.
struct crash_report
{
    request_id request;
    /// A replica that has restarted counts as another one.
    replica_process_id replica_process;
    /// What the request shares with others, the more specific traits last.
    std::vector<request_trait> traits;
    time_point at;
    /// Whether the replica had sent some output. Many sound requests are then
    /// lost with it, so that this is weaker evidence.
    bool after_output = false;

    bool operator==(const crash_report&) const = default;
};

} // namespace parsleytrack::routing
