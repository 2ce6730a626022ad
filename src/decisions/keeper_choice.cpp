#include "decisions/keeper_choice.hpp"

#include "decisions/rendezvous.hpp"

#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

std::vector<node_info> by_score(const std::vector<node_info>& keepers,
                                std::string_view key)
{
    std::vector<std::string> names;
    names.reserve(keepers.size());
    for (const node_info& keeper : keepers)
    {
        names.push_back(keeper.id.str());
    }
    std::vector<node_info> ranked;
    ranked.reserve(keepers.size());
    for (const std::size_t place : rendezvous_rank(names, key, names.size()))
    {
        ranked.push_back(keepers[place]);
    }
    return ranked;
}

/// Takes the best keeper of each zone, then the second best of each, and so
/// on; zones that an earlier round has used wait for the next round.
void append_spread(const std::vector<node_info>& ranked,
                   std::vector<node_info>& chosen)
{
    std::map<availability_zone_name, int> used;
    for (const node_info& keeper : chosen)
    {
        ++used[keeper.availability_zone];
    }
    std::vector<node_info> rest = ranked;
    while (!rest.empty())
    {
        std::size_t best = 0;
        for (std::size_t place = 1; place < rest.size(); ++place)
        {
            if (used[rest[place].availability_zone] <
                used[rest[best].availability_zone])
            {
                best = place;
            }
        }
        ++used[rest[best].availability_zone];
        chosen.push_back(std::move(rest[best]));
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(best));
    }
}

} // namespace

std::vector<node_info> rank_keepers(const std::map<node_id, node_info>& nodes,
                                    std::string_view key)
{
    std::vector<node_info> alive;
    std::vector<node_info> doubtful;
    for (const auto& [id, node] : nodes)
    {
        if (!node.keeper || node.state == node_state::dead)
        {
            continue;
        }
        (node.state == node_state::alive ? alive : doubtful).push_back(node);
    }
    std::vector<node_info> chosen;
    append_spread(by_score(alive, key), chosen);
    append_spread(by_score(doubtful, key), chosen);
    return chosen;
}

} // namespace parsleytrack
