#pragma once

#include "decisions/fleet_view.hpp"
#include "decisions/region_table.hpp"
#include "units/time.hpp"

#include <string>

namespace parsleytrack
{

/// \param own The node that answers.
/// \param fleet Its view.
/// \param regions What it knows of the regions.
/// \param now The time that the ages of the summaries are counted to.
/// \returns The JSON body of GET /v1/nodes.
std::string nodes_body(const node_id& own, const fleet_view& fleet,
                       const region_table& regions, time_point now);

} // namespace parsleytrack
