#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack::net
{

/// What a server allows a connection. The defaults hold until the owner of the
/// server sets others.
struct connection_limits
{
    /// Longest head of a request; a longer one is answered with 431. As much as
    /// common servers take.
    byte_count max_head{64 * 1024};
    /// Longest time from the first byte of a head to its last, answered with
    /// 408; zero for "no limit".
    duration head_timeout = duration::zero();
    /// Longest time without a byte between two requests, after which the
    /// connection is closed, or within a request's body, which is answered
    /// with 408; zero for "no limit".
    duration idle_timeout = duration::zero();
};

} // namespace parsleytrack::net
