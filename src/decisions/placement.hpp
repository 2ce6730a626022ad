#pragma once

#include "units/ids.hpp"

#include <vector>

namespace parsleytrack
{

/// A bulk segment and the keepers that acknowledged a copy of it. Repair may
/// have made further copies since.
struct placement
{
    segment_id segment;
    std::vector<node_id> holders;

    bool operator==(const placement&) const = default;
};

} // namespace parsleytrack
