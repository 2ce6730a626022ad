#pragma once

#include "daemon/once_answer.hpp"

#include <optional>

namespace parsleytrack
{

/// What the holder of an idempotency key may do.
struct once_grant
{
    /// The intent is committed and this caller alone may send the call. Given
    /// at most once for each key, unless it was handed back unsent.
    bool may_run = false;
    /// The answer of an earlier run; absent when may_run is set.
    std::optional<once_answer> recorded;
};

} // namespace parsleytrack
