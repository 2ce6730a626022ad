#pragma once

#include "key_value/versioned_value.hpp"

#include <optional>

namespace parsleytrack::key_value
{

/// The known outcome of a compare-and-swap.
struct swap_outcome
{
    /// Whether the new value was written.
    bool applied = false;
    /// The key's value now; absent when there is none.
    std::optional<versioned_value> current;
};

} // namespace parsleytrack::key_value
