#pragma once

#include "units/ids.hpp"

#include <cstddef>

namespace parsleytrack::slots
{

/// Most replicas whose slots one broker gives out. The grown deployments have
/// 60 replicas of 7 slots and some 400 orders a second in a burst; a quarter of
/// them keeps a broker of half a core under a tenth of it.
constexpr std::size_t max_replicas_per_pool = 16;

/// \param replicas How many replicas a service has.
/// \returns Into how many pools they are divided; at least 1.
int pool_count(std::size_t replicas);

/// \param replica A replica of the service.
/// \param pools The number of pools.
/// \returns The replica's pool. Few replicas change theirs when the number of
/// pools changes.
int pool_of(const replica_id& replica, int pools);

} // namespace parsleytrack::slots
