#pragma once

#include "decisions/address_candidate.hpp"
#include "units/ids.hpp"
#include "units/random_source.hpp"

#include <cstddef>
#include <vector>

namespace parsleytrack
{

/// Chooses the nodes that a caller is told of. Only living entry nodes are
/// named; those of the caller's availability zone come first, with one of
/// another zone among them in case the zone fails. Within a zone the order is
/// random, weighted by load, and keepers are named less often.
class address_picker
{
public:
    /// Most addresses in one answer.
    static constexpr std::size_t max_addresses = 4;

    /// \param candidates All known nodes.
    /// \param zone The caller's availability zone.
    /// \param random Draws the order.
    /// \returns The chosen nodes, in the order in which they are to be tried;
    /// empty when no node may be named.
    std::vector<node_info>
    pick(const std::vector<address_candidate>& candidates,
         const availability_zone_name& zone, random_source& random) const;
};

} // namespace parsleytrack
