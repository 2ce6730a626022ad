#pragma once

#include "units/request_rate.hpp"

#include <cstddef>

namespace parsleytrack::slots
{

/// What a node believes of the group when it decides on a replica's limit.
struct group_view
{
    /// Whether this node is the broker of the replica's pool.
    bool is_broker = false;
    /// Nodes that are alive, including this one.
    std::size_t live_nodes = 1;
    /// Nodes that this one cannot see although they may be running.
    std::size_t lost_nodes = 0;
};

/// Divides a replica's limit among the nodes, so that the parts of a group that
/// do not see each other do not exceed it together.
///
/// \param named The limit that the replica takes from all nodes.
/// \returns What this node may send to the replica and grant to others.
request_rate limit_share(request_rate named, const group_view& view);

} // namespace parsleytrack::slots
