#pragma once

#include "decisions/node_info.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace parsleytrack::feeds
{

/// Number of sources that a node other than a source follows at the same time,
/// so that losing one causes no gap.
constexpr std::size_t sources_per_node = 2;

/// Chooses the nodes that follow the store directly: the same number in each
/// availability zone, and at least sources_per_node in all. Nodes with little
/// capacity are chosen only in zones that have no others.
///
/// \param live_nodes The live nodes of the region.
/// \param topic Name of the feed; different topics get different sources, which
/// spreads the load.
/// \param max_direct_followers Up to this number of nodes, all follow the
/// store directly.
/// \param per_zone Number of sources in each availability zone.
/// \returns The sources in order of rank; empty when all nodes follow the store
/// directly.
std::vector<node_info> feed_sources(const std::vector<node_info>& live_nodes,
                                    std::string_view topic,
                                    std::size_t max_direct_followers,
                                    std::size_t per_zone = 1);

/// \param sources The result of feed_sources().
/// \param zone The node's zone; a source in it comes first.
/// \returns The sources that the node follows.
std::vector<node_info> followed_sources(const std::vector<node_info>& sources,
                                        const availability_zone_name& zone);

} // namespace parsleytrack::feeds
