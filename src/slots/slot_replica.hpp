#pragma once

#include "units/ids.hpp"
#include "units/request_rate.hpp"

#include <optional>

namespace parsleytrack::slots
{

/// A replica whose slots are granted by a broker.
struct slot_replica
{
    replica_id id;
    availability_zone_name availability_zone;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    /// The requests per second that this broker may send to it; absent when
    /// only the slots limit them.
    std::optional<request_rate> limit = std::nullopt;
    software_version version = {};

    bool operator==(const slot_replica&) const = default;
};

} // namespace parsleytrack::slots
