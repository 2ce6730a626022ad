#pragma once

#include "decisions/node_info.hpp"
#include "units/ids.hpp"

#include <map>
#include <set>

namespace parsleytrack
{

/// Finds nodes that were restarted so fast that nobody saw them dead. What
/// their earlier process had in its hands is gone.
class restart_detector
{
public:
    /// \param nodes What is believed of the nodes now.
    /// \returns The nodes that were restarted since the last call.
    std::set<node_id> update(const std::map<node_id, node_info>& nodes);

private:
    std::map<node_id, incarnation_number> known;
};

} // namespace parsleytrack
