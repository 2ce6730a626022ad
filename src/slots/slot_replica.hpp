#pragma once

#include "units/ids.hpp"

namespace parsleytrack::slots
{

/// A replica whose slots are granted by a broker.
struct slot_replica
{
    replica_id id;
    availability_zone_name availability_zone;
    /// Number of requests that it runs concurrently.
    int slots = 1;

    bool operator==(const slot_replica&) const = default;
};

} // namespace parsleytrack::slots
