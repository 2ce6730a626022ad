#pragma once

#include "decisions/node_info.hpp"
#include "settings/relay_settings.hpp"
#include "units/random_source.hpp"

namespace parsleytrack::relay
{

/// \param random Draws the number of this process.
/// \returns What this node tells the group of itself.
node_info own_node_info(const settings::relay_settings& settings,
                        random_source& random);

} // namespace parsleytrack::relay
