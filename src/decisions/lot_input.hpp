#pragma once

#include "decisions/placement.hpp"

namespace parsleytrack
{

/// Where the items of one lot are.
struct lot_input
{
    placement input;
    int items = 0;

    bool operator==(const lot_input&) const = default;
};

} // namespace parsleytrack
