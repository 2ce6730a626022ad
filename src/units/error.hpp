#pragma once

#include "units/error_code.hpp"
#include "units/ran_state.hpp"
#include "units/time.hpp"

#include <optional>
#include <string>

namespace parsleytrack
{

/// Describes a failed operation: its reason, a message for people, and whether
/// the request may have been executed.
struct error
{
    error_code code = error_code::internal;
    /// One sentence: what failed and why.
    std::string message;
    ran_state ran = ran_state::no;
    /// Delay after which a retry may succeed; absent where a retry does not
    /// help.
    std::optional<duration> retry_after;
};

} // namespace parsleytrack
