#pragma once

#include "units/numbers.hpp"

#include <cstddef>

namespace parsleytrack::wire
{

/// Limits of what others may make a node hold at its address for nodes, which
/// strangers can reach, too. Zero means "no limit".
struct peer_limits
{
    /// Bytes of messages that have not arrived as a whole, over all
    /// connections.
    byte_count unfinished_input;
    /// Open connections that others have opened.
    std::size_t connections = 0;
};

} // namespace parsleytrack::wire
