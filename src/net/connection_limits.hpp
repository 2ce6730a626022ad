#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack::net
{

/// Limits that a server enforces on each of its connections. The defaults apply
/// until the owner of the server sets others.
struct connection_limits
{
    /// Maximum size of a request head; a larger one is answered with 431.
    /// Common servers accept as much.
    byte_count max_head{64 * 1024};
    /// Maximum time from the first to the last byte of a head; a slower request
    /// is answered with 408. Zero means "no limit".
    duration head_timeout = duration::zero();
    /// Maximum time without received bytes: between two requests the connection
    /// is closed, within a request's body the request is answered with 408.
    /// Zero means "no limit".
    duration idle_timeout = duration::zero();
};

} // namespace parsleytrack::net
