#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"
#include "units/work_class.hpp"

#include <optional>
#include <set>

namespace parsleytrack::slots
{

/// A request for one slot.
struct slot_request
{
    work_class kind = work_class::online;
    /// 0 is the most urgent.
    int priority = 0;
    /// Online: deadline for the grant; after it the response would be late.
    /// Batch: when the work is due.
    time_point useful_until;
    /// Whether to keep waiting for a slot after useful_until; such a request is
    /// served after those that can still be on time.
    bool wait_when_late = false;
    /// When nobody waits for the response any more. A request that is not
    /// expected to get a slot before is refused at once.
    time_point abandoned_at = time_point::max();
    /// Requests share the slots by workspace; those without one as one.
    workspace_name workspace;
    /// Replicas in this zone are preferred.
    availability_zone_name availability_zone;
    /// Replicas on which this request has failed before.
    std::set<replica_id> excluded;
    /// The version that replicas must have; any if absent.
    std::optional<software_version> version = std::nullopt;
    /// When the request may be granted other versions as well.
    time_point any_version_from = time_point::max();

    /// \returns Whether the request depends on its version.
    bool depends_on_version(time_point now) const
    {
        return this->version && now < this->any_version_from;
    }
};

} // namespace parsleytrack::slots
