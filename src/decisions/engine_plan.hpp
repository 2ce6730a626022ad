#pragma once

#include "decisions/catalogue.hpp"
#include "decisions/engine_part.hpp"
#include "decisions/engine_state.hpp"

#include <set>
#include <vector>

namespace parsleytrack
{

/// How an engine differs from what the release says.
struct engine_plan
{
    /// Models before adapters.
    std::vector<engine_part> load;
    std::vector<engine_part> unload;

    bool empty() const { return this->load.empty() && this->unload.empty(); }
};

/// \returns All that engines of a service are to have loaded.
std::set<engine_part> desired_parts(const catalogue& release,
                                    const service_name& service);

/// \param desired What an engine is to have loaded.
/// \param state What it reports.
/// \returns What is left to do. What it is loading already is not loaded
/// again, and what it is loading unwanted is to be unloaded.
engine_plan make_engine_plan(const std::set<engine_part>& desired,
                             const engine_state& state);

} // namespace parsleytrack
