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
    /// The parts that the prompt shares with others, in their order.
    std::vector<prompt_part_id> parts;
    time_point at;

    bool operator==(const crash_report&) const = default;
};

} // namespace parsleytrack::routing
