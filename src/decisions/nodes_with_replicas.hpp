#pragma once

#include "decisions/node_info.hpp"

#include <vector>

namespace parsleytrack
{

/// \returns The nodes that reach replicas; all of them if none does.
std::vector<node_info> nodes_with_replicas(const std::vector<node_info>& nodes);

} // namespace parsleytrack
