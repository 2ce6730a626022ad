#pragma once

#include "relay/slot_pool.hpp"
#include "slots/slot_request.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"
#include "units/work_class.hpp"

#include <optional>
#include <set>

namespace parsleytrack::relay
{

/// A request to a broker for a slot, for an online request or a batch item.
struct slot_request
{
    request_id request;
    /// The node that requests the slot; empty if it does not say so.
    node_id node;
    slot_pool pool;
    work_class kind = work_class::online;
    /// 0 is the most urgent.
    int priority = 0;
    /// Online: remaining time in which a slot still lets the response be on
    /// time. Batch: remaining time until the item is due.
    duration useful_for = duration::zero();
    /// Whether to keep waiting for a slot when the response will be late.
    bool wait_when_late = false;
    /// Remaining time until nobody waits for the response any more; absent when
    /// there is no such time.
    std::optional<duration> abandoned_in = std::nullopt;
    std::set<replica_id> excluded;
    /// The version that the replica must have; any if absent.
    std::optional<software_version> version = std::nullopt;
    /// Remaining time after which other versions may be granted as well; absent
    /// if never.
    std::optional<duration> any_version_in = std::nullopt;
    /// The caller's workspace; empty if there is none.
    workspace_name workspace = {};
    availability_zone_name availability_zone;
    /// Set when the slot is in use already: granted by another broker, or
    /// chosen without one.
    replica_id held_replica;
};

/// \param now The time at the broker, which received the request.
/// \returns The request as the broker's decisions see it.
slots::slot_request to_broker_request(const slot_request& request,
                                      time_point now);

} // namespace parsleytrack::relay
