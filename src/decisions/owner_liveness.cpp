#include "decisions/owner_liveness.hpp"

namespace parsleytrack
{

void owner_liveness::update(time_point now,
                            const std::map<node_id, node_info>& nodes)
{
    std::map<node_id, node_state> seen;
    for (const auto& [id, node] : nodes)
    {
        if (node.state != node_state::dead)
        {
            seen[id] = node.state;
            this->missing_since.erase(id);
        }
    }
    for (const auto& [id, state] : this->present)
    {
        if (seen.count(id) == 0)
        {
            this->missing_since.try_emplace(id, now);
        }
    }
    this->present = std::move(seen);
}

bool owner_liveness::is_usable(time_point now, const node_id& node)
{
    if (this->is_present(node))
    {
        return true;
    }
    // A node that was never seen here counts as missing from now on.
    const auto entry = this->missing_since.try_emplace(node, now).first;
    return now - entry->second < this->lease_time;
}

} // namespace parsleytrack
