#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <cstdint>
#include <vector>

namespace parsleytrack
{

/// What other regions learn of a region.
struct region_summary
{
    region_name region;
    /// The wall clock of the bridge that wrote it; the newest counts.
    std::int64_t version = 0;
    release_version release;
    int nodes = 0;
    /// Peer addresses through which the region can be reached.
    std::vector<endpoint> contacts;

    bool operator==(const region_summary&) const = default;
};

} // namespace parsleytrack
