#pragma once

#include "decisions/node_state.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

namespace parsleytrack
{

/// A node as the others know it.
struct node_info
{
    node_id id;
    endpoint peer;
    endpoint http;
    region_name region;
    availability_zone_name availability_zone;
    bool entry = true;
    bool keeper = false;
    /// What the node may spend, in thousandths of a core.
    int capacity = 1000;
    node_state state = node_state::alive;
    /// Grows with each suspicion that the node refutes.
    incarnation_number incarnation;
    /// The incarnation with which its process started; tells its lives apart.
    incarnation_number start_incarnation;

    bool operator==(const node_info&) const = default;
};

} // namespace parsleytrack
