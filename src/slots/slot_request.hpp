#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"
#include "units/work_class.hpp"

#include <set>

namespace parsleytrack::slots
{

/// What is asked of the broker.
struct slot_request
{
    work_class kind = work_class::online;
    /// 0 is the most urgent.
    int priority = 0;
    /// Online: after this the answer would be late. Batch: when it is due.
    time_point useful_until;
    /// Whether it is worth waiting for a slot beyond useful_until; such a
    /// request comes after those that can still be on time.
    bool wait_when_late = false;
    /// Replicas in this zone are preferred.
    availability_zone_name availability_zone;
    /// Replicas that have failed the request before.
    std::set<replica_id> excluded;
};

} // namespace parsleytrack::slots
