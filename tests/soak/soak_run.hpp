#pragma once

#include "soak/fault_kinds.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace parsleytrack::soak
{

/// What one run has shown.
struct soak_outcome
{
    std::vector<std::string> violations;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t jobs = 0;
    /// What the checks of the workspaces have counted; empty without them.
    std::string workspaces;
};

/// Runs a fleet under faults, heals it, and checks that it recovers.
///
/// \param seed Faults and callers are drawn from it.
/// \param node_count How many nodes.
/// \param span How long faults come.
/// \param kinds Which faults come.
/// \param log Gets a line for each fault.
/// \returns What was seen.
soak_outcome run_soak(std::uint64_t seed, int node_count, duration span,
                      fault_kinds kinds, std::ostream& log);

} // namespace parsleytrack::soak
