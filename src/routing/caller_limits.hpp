#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack::routing
{

/// What callers may send, and how long they may take.
struct caller_limits
{
    byte_count header;
    byte_count body;
    /// Longest time until a request's head is complete.
    duration header_timeout = duration::zero();
    /// Longest time that a connection may be idle between requests.
    duration idle_timeout = duration::zero();
};

} // namespace parsleytrack::routing
