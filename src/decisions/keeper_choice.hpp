#pragma once

#include "decisions/node_info.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// Orders the keepers that may hold copies of something: availability zones
/// take turns, so that as many copies as there are zones lie in different
/// ones. Nodes that are alive come first, then suspect and leaving ones; dead
/// ones are left out.
///
/// \param nodes The known nodes.
/// \param key What is to be kept; equal keys get equal orders.
/// \returns All usable keepers, best first.
std::vector<node_info> rank_keepers(const std::map<node_id, node_info>& nodes,
                                    std::string_view key);

} // namespace parsleytrack
