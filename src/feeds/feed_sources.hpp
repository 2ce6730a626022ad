#pragma once

#include "decisions/node_info.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace parsleytrack::feeds
{

/// How many of the sources a node that is none follows at the same time, so
/// that the loss of one is not noticed.
constexpr std::size_t sources_per_node = 2;

/// Chooses the nodes that follow the store themselves: one in each
/// availability zone, and at least as many as a node wants to follow.
///
/// \param living The nodes of the region.
/// \param topic What is followed; spreads the work of several topics.
/// \param max_direct_followers Up to so many nodes all follow the store
/// themselves. \returns The sources, the best first; empty when all nodes are.
std::vector<node_info> feed_sources(const std::vector<node_info>& live_nodes,
                                    std::string_view topic,
                                    std::size_t max_direct_followers);

/// \param sources As feed_sources() gave them.
/// \param zone Where the node is; the source there comes first.
/// \returns The sources that a node follows.
std::vector<node_info> followed_sources(const std::vector<node_info>& sources,
                                        const availability_zone_name& zone);

} // namespace parsleytrack::feeds
