#pragma once

#include "decisions/seen_lot_record.hpp"

#include <optional>

namespace parsleytrack
{

/// The known outcome of writing a lot's record.
struct lot_swap_outcome
{
    bool applied = false;
    /// The record that the store holds now.
    std::optional<seen_lot_record> current;
};

} // namespace parsleytrack
