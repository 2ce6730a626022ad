#pragma once

#include "decisions/job_progress.hpp"
#include "decisions/node_info.hpp"
#include "units/ids.hpp"

#include <functional>
#include <map>
#include <vector>

namespace parsleytrack
{

/// Number of parts into which the open jobs are divided. A fixed number, so
/// that finding open jobs costs the store the same however large the fleet.
constexpr int job_shard_count = 32;

/// \param job Any job.
/// \returns Its part, from 0 to job_shard_count - 1.
int job_shard(const job_id& job);

/// \param shard A part of the open jobs.
/// \param nodes The known nodes.
/// \returns The node that looks after the part; empty when there is none.
node_id shard_coordinator(int shard, const std::map<node_id, node_info>& nodes);

/// Says which node should own which lots that have not ended. An owner that
/// is usable keeps its lots; the others go to the best node by rendezvous
/// hashing.
///
/// \param job The job.
/// \param progress What the store says of it.
/// \param nodes The known nodes.
/// \param is_usable Says of a node that it may still own lots.
/// \returns Each node's lots.
std::map<node_id, std::vector<int>>
assign_lots(const job_id& job, const job_progress& progress,
            const std::map<node_id, node_info>& nodes,
            const std::function<bool(const node_id&)>& is_usable);

} // namespace parsleytrack
