#pragma once

#include "units/request_rate.hpp"
#include "units/time.hpp"

#include <optional>

namespace parsleytrack::routing
{

/// What a response has said about the limit of its replica.
struct limit_observation
{
    /// The requests per second that the replica takes from all nodes together;
    /// absent when it names no limit.
    std::optional<request_rate> limit;
    time_point at;

    bool operator==(const limit_observation&) const = default;
};

} // namespace parsleytrack::routing
