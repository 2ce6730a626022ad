#pragma once

#include "key_value/versioned_value.hpp"

#include <optional>

namespace parsleytrack::key_value
{

/// The known outcome of a compare-and-swap.
struct swap_outcome
{
    /// Whether the write or deletion took effect.
    bool applied = false;
    /// The key's current value; absent when the key does not exist.
    std::optional<versioned_value> current;
};

} // namespace parsleytrack::key_value
