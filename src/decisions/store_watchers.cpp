#include "decisions/store_watchers.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <string>

namespace parsleytrack
{

std::vector<node_id> store_watchers(const fleet_view& fleet,
                                    std::string_view topic)
{
    std::vector<std::string> candidates;
    for (const auto& [id, node] : fleet.nodes())
    {
        if (node.state == node_state::alive)
        {
            candidates.push_back(id.str());
        }
    }
    std::vector<node_id> watchers;
    for (const std::size_t position :
         rendezvous_rank(candidates, topic, store_watchers_per_region))
    {
        watchers.emplace_back(candidates[position]);
    }
    return watchers;
}

bool is_store_watcher(const fleet_view& fleet, const node_id& own,
                      std::string_view topic)
{
    const auto watchers = store_watchers(fleet, topic);
    return watchers.empty() ||
           std::find(watchers.begin(), watchers.end(), own) != watchers.end();
}

} // namespace parsleytrack
