#include "relay/job_placement.hpp"

#include "decisions/rendezvous.hpp"

#include <cstdint>

namespace parsleytrack::relay
{

const node_info& preferred_owner(const peering::peer_group& group,
                                 const job_id& job)
{
    const node_info* best = &group.own();
    std::uint64_t best_score = 0;
    for (const node_info& node : group.serving_nodes())
    {
        const std::uint64_t score = rendezvous_score(node.id.str(), job.str());
        if (node.entry && score > best_score)
        {
            best = &node;
            best_score = score;
        }
    }
    return *best;
}

bool is_owner_gone(const std::optional<node_info>& owner,
                   const jobs::job_state& state)
{
    return !owner || owner->state == node_state::leaving ||
           owner->process != state.owner_process;
}

} // namespace parsleytrack::relay
