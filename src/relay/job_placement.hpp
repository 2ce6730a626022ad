#pragma once

#include "decisions/node_info.hpp"
#include "jobs/job_state.hpp"
#include "peering/peer_group.hpp"
#include "units/ids.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// \param group The nodes.
/// \param job A job.
/// \returns The living node that is to run the job as long as no other one
/// does. All nodes with the same view agree on it.
const node_info& preferred_owner(const peering::peer_group& group,
                                 const job_id& job);

/// \param owner What is known of the node that a job's record names; absent
/// when it is dead or was never heard of.
/// \param state The job.
/// \returns Whether another node is to take the job over: the owner is gone,
/// is about to stop, or has started anew without the job.
bool is_owner_gone(const std::optional<node_info>& owner,
                   const jobs::job_state& state);

} // namespace parsleytrack::relay
