#pragma once

#include "routing/crash_report.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace parsleytrack::routing
{

/// Number of replicas that must have ended under a trait that none is known to
/// have survived.
constexpr std::size_t crash_threshold = 3;
/// The same for a trait that replicas have survived before, and for a part of
/// a prompt under which they had sent output: it may be in progress at several
/// replicas when these end for another reason.
constexpr std::size_t crash_threshold_of_survived = 5;
/// Crashes under such a trait must be at least this far apart in time, so
/// that replicas which end together are no evidence against it.
constexpr duration crash_span_of_survived = std::chrono::seconds(2);

/// Finds the traits of requests that explain why replicas ended. The trait
/// under which most replicas ended is found first; the requests that contain it
/// are then no evidence against their other traits.
///
/// \param reports What all nodes have reported.
/// \param survivals When a replica last survived a trait. Only crashes after
/// that count.
std::vector<request_trait>
find_crashing_traits(std::vector<crash_report> reports,
                     const std::map<request_trait, time_point>& survivals);

} // namespace parsleytrack::routing
