#include "decisions/lot_assignment.hpp"

#include "decisions/rendezvous.hpp"

#include <string>

namespace parsleytrack
{

namespace
{

std::vector<std::string> live_nodes(const std::map<node_id, node_info>& nodes)
{
    std::vector<std::string> names;
    for (const auto& [id, node] : nodes)
    {
        if (node.state == node_state::alive ||
            node.state == node_state::suspect)
        {
            names.push_back(id.str());
        }
    }
    return names;
}

node_id best_node(const std::vector<std::string>& names, const std::string& key)
{
    const auto best = rendezvous_rank(names, key, 1);
    return best.empty() ? node_id() : node_id(names[best.front()]);
}

} // namespace

int job_shard(const job_id& job)
{
    return static_cast<int>(rendezvous_score("job", job.str()) %
                            static_cast<std::uint64_t>(job_shard_count));
}

node_id shard_coordinator(int shard, const std::map<node_id, node_info>& nodes)
{
    return best_node(live_nodes(nodes), "job-shard-" + std::to_string(shard));
}

std::map<node_id, std::vector<int>>
assign_lots(const job_id& job, const job_progress& progress,
            const std::map<node_id, node_info>& nodes,
            const std::function<bool(const node_id&)>& is_usable)
{
    const std::vector<std::string> names = live_nodes(nodes);
    std::map<node_id, std::vector<int>> assigned;
    for (int lot = 0; lot < static_cast<int>(progress.job.lots.size()); ++lot)
    {
        const auto found = progress.lots.find(lot);
        const bool exists = found != progress.lots.end();
        if (exists && found->second.complete())
        {
            continue;
        }
        const bool is_owned = exists && !found->second.owner.empty() &&
                              is_usable(found->second.owner);
        const node_id node =
            is_owned ? found->second.owner
                     : best_node(names, job.str() + "/" + std::to_string(lot));
        if (!node.empty())
        {
            assigned[node].push_back(lot);
        }
    }
    return assigned;
}

} // namespace parsleytrack
