#pragma once

#include "units/ids.hpp"

namespace parsleytrack::slots
{

/// A replica whose slots are given out.
struct slot_replica
{
    replica_id id;
    availability_zone_name availability_zone;
    /// Requests that it runs at the same time.
    int slots = 1;

    bool operator==(const slot_replica&) const = default;
};

} // namespace parsleytrack::slots
