#pragma once

#include "wire/message_type.hpp"

namespace parsleytrack::wire
{

/// Selects the connection between two nodes that a call uses. Each lane has its
/// own connection, so that an online response never waits behind a bulk
/// transfer.
enum class peer_lane
{
    /// Membership, online requests, releases, at-most-once calls and all other
    /// types.
    interactive,
    /// Batch items and results, segments, record copies, jobs.
    bulk
};

/// \returns The lane that carries requests of a type.
peer_lane lane_of(message_type type);

} // namespace parsleytrack::wire
