#pragma once

#include "units/descriptor_limit.hpp"
#include "units/numbers.hpp"
#include "wire/peer_limits.hpp"

#include <algorithm>
#include <cstddef>

namespace parsleytrack::relay
{

/// \param memory Memory limit of the instance.
/// \returns What others may make a node hold at its address for nodes.
inline wire::peer_limits peer_limits_for(byte_count memory)
{
    // The largest message hands over a job of the largest body, and is smaller
    // than this part of the smallest instance.
    constexpr std::int64_t unfinished_input_parts = 8;
    // Each node of a group opens up to two; those in use are closed last.
    constexpr std::size_t connection_parts = 4;
    constexpr std::size_t min_connections = 16;
    return wire::peer_limits{
        byte_count(memory.count() / unfinished_input_parts),
        std::max(min_connections, descriptor_limit() / connection_parts)};
}

} // namespace parsleytrack::relay
