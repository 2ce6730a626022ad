#pragma once

#include "decisions/node_info.hpp"
#include "peering/peer_group.hpp"
#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// \param group The nodes.
/// \param job A job.
/// \returns The living node that is to run the job as long as no other one
/// does. All nodes with the same view agree on it.
const node_info& preferred_owner(const peering::peer_group& group,
                                 const job_id& job);

} // namespace parsleytrack::relay
