#pragma once

#include "decisions/node_info.hpp"

#include <vector>

namespace parsleytrack
{

/// Leaves only nodes that may take on work for the others.
///
/// \param nodes Living nodes.
/// \returns Those with at least half of the largest capacity among them.
std::vector<node_info> high_capacity_nodes(std::vector<node_info> nodes);

} // namespace parsleytrack
