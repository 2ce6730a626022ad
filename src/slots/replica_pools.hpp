#pragma once

#include "units/ids.hpp"

#include <cstddef>

namespace parsleytrack::slots
{

/// Maximum number of replicas whose slots one broker grants. The largest
/// deployments have 60 replicas of 7 slots and about 400 slot requests per
/// second in a burst; with a quarter of them, a broker that has half a core
/// uses less than a tenth of it.
constexpr std::size_t max_replicas_per_pool = 16;

/// \param replicas Number of replicas of a service.
/// \returns The number of pools they are divided into; at least 1.
int pool_count(std::size_t replicas);

/// Assigns replicas by rendezvous hashing, so that few of them change their
/// pool when the number of pools changes.
///
/// \returns The index of the replica's pool, below \p pools.
int pool_of(const replica_id& replica, int pools);

} // namespace parsleytrack::slots
