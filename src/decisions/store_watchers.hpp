#pragma once

#include "decisions/fleet_view.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// Nodes of a region that watch the platform's store for the others, so that
/// its load does not grow with the fleet.
constexpr std::size_t store_watchers_per_region = 2;

/// \param fleet The nodes of the region.
/// \param topic What is watched.
/// \returns The watchers, best first; empty when no node is known.
std::vector<node_id> store_watchers(const fleet_view& fleet,
                                    std::string_view topic);

/// \param own This node; it watches when it knows of no node at all.
/// \returns Whether this node is a watcher.
bool is_store_watcher(const fleet_view& fleet, const node_id& own,
                      std::string_view topic);

} // namespace parsleytrack
