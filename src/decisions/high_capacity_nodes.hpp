#pragma once

#include "decisions/node_info.hpp"

#include <vector>

namespace parsleytrack
{

/// Selects the nodes that are eligible to do work for the others.
///
/// \param nodes Live nodes.
/// \returns Those with at least half of the largest capacity among them.
std::vector<node_info> high_capacity_nodes(std::vector<node_info> nodes);

} // namespace parsleytrack
