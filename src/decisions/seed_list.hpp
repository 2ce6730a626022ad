#pragma once

#include "decisions/node_info.hpp"
#include "decisions/seed_entry.hpp"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// Most entries in the list of a region.
constexpr std::size_t max_seed_entries = 8;

/// Chooses the few nodes that do a duty for their region, the same on all
/// nodes with the same view.
///
/// \param nodes The view, the node itself included.
/// \param own The node that asks.
/// \param duty Names the duty.
/// \param count How many nodes do it.
/// \returns Whether the node is one of them.
bool has_duty(const std::vector<node_info>& nodes, const node_id& own,
              std::string_view duty, std::size_t count);

/// Decides whether the list of seeds in the store is to be written again. It
/// is left alone as long as half of it lives, so that writes are few.
///
/// \param listed The list as read.
/// \param nodes The view, the node itself included.
/// \returns The new list, or nothing when the old one will do.
std::optional<std::vector<seed_entry>>
renewed_seeds(const std::vector<seed_entry>& listed,
              const std::vector<node_info>& nodes);

/// Adds a node that could reach none of the listed ones.
///
/// \param listed The list as read.
/// \param own The node.
/// \returns The new list, this node first; nothing when it stands there.
std::optional<std::vector<seed_entry>>
seeds_with(const std::vector<seed_entry>& listed, const node_info& own);

} // namespace parsleytrack
