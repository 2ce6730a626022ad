#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"

#include <cstdint>
#include <optional>

namespace parsleytrack::routing
{

/// What a replica says of itself in the list of replicas.
struct replica_entry
{
    replica_id id;
    service_name service;
    endpoint address;
    availability_zone_name availability_zone;
    /// Requests that it runs at the same time.
    int slots = 1;
    /// Announced that it will stop.
    bool draining = false;
    /// When this life of the replica began, in Unix milliseconds; absent when
    /// the entry does not say. A new value means that nothing of before holds.
    std::optional<std::int64_t> started_at_ms;

    bool operator==(const replica_entry&) const = default;
};

} // namespace parsleytrack::routing
