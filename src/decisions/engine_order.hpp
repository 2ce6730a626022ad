#pragma once

#include "decisions/engine_part.hpp"
#include "units/numbers.hpp"

#include <vector>

namespace parsleytrack
{

/// An order to an engine.
struct engine_order
{
    fencing_number number;
    /// At most one, which uses a slot of the load budget.
    std::vector<engine_part> load;
    std::vector<engine_part> unload;
};

} // namespace parsleytrack
