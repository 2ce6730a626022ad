#pragma once

#include "routing/replica_registry.hpp"
#include "routing/route.hpp"
#include "units/ids.hpp"
#include "units/random_source.hpp"

namespace parsleytrack::routing
{

/// \returns Whether the route sends work to the service.
bool includes_service(const route& target, const service_name& service);

/// \returns Whether work that was given to the service stays there: the route
/// includes it, and no other service of the route has usable replicas while
/// this one has none.
bool keeps_service(const route& target, const service_name& service,
                   const replica_registry& replicas);

/// \returns The service for a batch item: the first one of the route that has
/// usable replicas, or the first one if none has.
const service_name& first_service(const route& target,
                                  const replica_registry& replicas);

/// \returns A service for an online request, drawn by weight from those of the
/// route that have usable replicas, or from all if none has.
const service_name& draw_service(const route& target,
                                 const replica_registry& replicas,
                                 random_source& random);

} // namespace parsleytrack::routing
