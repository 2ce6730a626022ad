#pragma once

#include "units/time.hpp"

namespace parsleytrack::feeds::detail
{

/// Interval in which a source with subscribers has its records confirmed and
/// passes the confirmation on.
constexpr duration heartbeat_interval = std::chrono::milliseconds(500);
/// Age of the store's confirmation from which a node no longer relies on where
/// it has its records from: two lost heartbeats. Together with the fallback's
/// jitter and the call to the store it is well below the three seconds within
/// which changes must arrive in large groups.
constexpr duration max_confirmation_age = std::chrono::milliseconds(1600);

/// Age of the last confirmation from which the store counts as unreachable, so
/// that records which expired meanwhile may come back after its return. Longer
/// than the fallback from the sources to the store takes.
constexpr duration outage_age = std::chrono::seconds(3);

} // namespace parsleytrack::feeds::detail
