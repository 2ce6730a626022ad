#pragma once

#include "relay/slot_pool.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"
#include "units/work_class.hpp"

#include <set>

namespace parsleytrack::relay
{

/// What a request or an item wants of the broker of its service.
struct slot_request
{
    request_id request;
    slot_pool pool;
    work_class kind = work_class::online;
    /// 0 is the most urgent.
    int priority = 0;
    /// Online: how long an answer can still be on time. Batch: until it is due.
    duration useful_for = duration::zero();
    /// Whether a slot is wanted even when the answer will be late.
    bool wait_when_late = false;
    std::set<replica_id> excluded;
    availability_zone_name availability_zone;
    /// Set when the slot is in use already, granted by another broker.
    replica_id held_replica;
};

} // namespace parsleytrack::relay
