#pragma once

#include "units/ids.hpp"

#include <cstddef>

namespace parsleytrack::slots
{

/// Maximum number of replicas whose slots one broker grants. Few large pools
/// balance the load better than many small ones, whose brokers reclaim slots
/// from batch work while other pools have free ones; the broker's processor
/// time bounds their size.
constexpr std::size_t max_replicas_per_pool = 96;

/// \param replicas Number of replicas of a service.
/// \returns The number of pools they are divided into; at least 1.
int pool_count(std::size_t replicas);

/// Assigns replicas by rendezvous hashing, so that few of them change their
/// pool when the number of pools changes.
///
/// \returns The index of the replica's pool, below \p pools.
int pool_of(const replica_id& replica, int pools);

/// \param held The replica whose slot a request holds; empty while it waits.
/// \param current The pool that the request belongs to.
/// \param pools The present number of pools.
/// \returns The pool whose broker must know of the request. A slot in use moves
/// with its replica; otherwise the new broker would grant it a second time.
int pool_after_change(const replica_id& held, int current, int pools);

} // namespace parsleytrack::slots
