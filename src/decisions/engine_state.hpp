#pragma once

#include "decisions/engine_part.hpp"
#include "units/numbers.hpp"

#include <set>

namespace parsleytrack
{

/// What an engine reports of itself.
struct engine_state
{
    bool leaving = false;
    /// Whether it refuses orders with an old fencing number.
    bool checks_fencing = true;
    fencing_number highest_fencing;
    std::set<engine_part> loaded;
    /// Without the models of adapters.
    std::set<engine_part> loading;
};

} // namespace parsleytrack
