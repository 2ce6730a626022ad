#pragma once

#include "routing/limit_observation.hpp"
#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// What a process of a replica has said of its limit.
struct replica_limit
{
    replica_process_id process;
    routing::limit_observation observation;
};

} // namespace parsleytrack::relay
