#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack::routing
{

/// Size and time limits for callers.
struct caller_limits
{
    byte_count header;
    byte_count body;
    /// Maximum time until a request's header is complete.
    duration header_timeout = duration::zero();
    /// Maximum time that a connection may be idle between requests.
    duration idle_timeout = duration::zero();
};

} // namespace parsleytrack::routing
