#pragma once

#include "decisions/node_state.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

namespace parsleytrack
{

/// The published properties and the state of a node.
struct node_info
{
    node_id id;
    endpoint peer;
    endpoint http;
    region_name region;
    availability_zone_name availability_zone;
    bool entry = true;
    bool keeper = false;
    /// The CPU capacity that the node may use, in thousandths of a core.
    int capacity = 1000;
    /// Whether the node can open connections to backend servers.
    bool reaches_replicas = true;
    node_state state = node_state::alive;
    /// Orders claims about the node; increases with each claim that the node
    /// refutes.
    incarnation_number incarnation;
    /// The process that runs under this id.
    process_number process;

    bool operator==(const node_info&) const = default;
};

} // namespace parsleytrack
