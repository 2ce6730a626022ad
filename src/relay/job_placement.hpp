#pragma once

#include "decisions/node_info.hpp"
#include "jobs/job_state.hpp"
#include "peering/peer_group.hpp"
#include "units/ids.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// \returns The live node that is to run a job that no other node runs; the
/// same on all nodes that have the same view of the group.
const node_info& preferred_owner(const peering::peer_group& group,
                                 const job_id& job);

/// \param owner The node that the job's record names; absent if it is dead or
/// unknown.
/// \returns Whether another node is to take the job over, since the owner is
/// gone, is about to stop, or has lost the job by a restart.
bool is_owner_gone(const std::optional<node_info>& owner,
                   const jobs::job_state& state);

} // namespace parsleytrack::relay
