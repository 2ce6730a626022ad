#pragma once

#include "units/ids.hpp"

#include <string>
#include <vector>

namespace parsleytrack
{

/// An item that is handed to a gate.
struct item_assignment
{
    int index = 0;
    int attempt = 0;
    bool run_alone = false;
    std::vector<replica_id> avoid;
    std::string generated_so_far;
};

} // namespace parsleytrack
