#pragma once

#include "units/numbers.hpp"
#include "wire/peer_limits.hpp"

namespace parsleytrack::relay
{

/// \param memory Memory limit of the instance.
/// \returns What others may make a node hold at its address for nodes.
inline wire::peer_limits peer_limits_for(byte_count memory)
{
    // The largest message hands over a job of the largest body, and is smaller
    // than this part of the smallest instance.
    constexpr std::int64_t unfinished_input_parts = 8;
    return wire::peer_limits{
        byte_count(memory.count() / unfinished_input_parts)};
}

} // namespace parsleytrack::relay
