#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

#include <cstddef>

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
    /// Maximum size of a request's body; a larger one is answered with 413 as
    /// soon as it is declared or received. Zero means "no limit".
    byte_count max_body{0};
    /// Maximum number of open connections. Beyond it, the connection that has
    /// waited longest for a request is closed, else the new one. Zero means
    /// "no limit".
    std::size_t max_connections = 0;
};

} // namespace parsleytrack::net
