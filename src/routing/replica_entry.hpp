#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace parsleytrack::routing
{

/// A replica's own entry in the list of replicas.
struct replica_entry
{
    replica_id id;
    service_name service;
    endpoint address;
    availability_zone_name availability_zone;
    /// A stream goes on only at replicas of the version that began it, and
    /// replicas do not check this.
    software_version version;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    /// Whether it has announced that it will stop.
    bool draining = false;
    /// When the replica process started, in Unix milliseconds; absent when the
    /// entry does not contain it. A new value means that the replica restarted
    /// and that earlier observations of it no longer apply.
    std::optional<std::int64_t> started_at_ms;

    bool operator==(const replica_entry&) const = default;
};

/// \returns The process that the entry describes.
inline replica_process_id process_of(const replica_entry& entry)
{
    return replica_process_id(entry.id.str() + "/" +
                              std::to_string(entry.started_at_ms.value_or(0)));
}

} // namespace parsleytrack::routing
