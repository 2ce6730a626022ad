#include "feeds/feed_sources.hpp"

#include "decisions/high_capacity_nodes.hpp"
#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace parsleytrack::feeds
{

std::vector<node_info> feed_sources(const std::vector<node_info>& live_nodes,
                                    std::string_view topic,
                                    std::size_t max_direct_followers,
                                    std::size_t per_zone)
{
    if (live_nodes.size() <= max_direct_followers)
    {
        return {};
    }
    std::map<availability_zone_name, std::vector<node_info>> zones;
    for (const node_info& node : live_nodes)
    {
        zones[node.availability_zone].push_back(node);
    }
    std::vector<node_info> candidates;
    for (auto& [zone, nodes] : zones)
    {
        for (node_info& node : high_capacity_nodes(std::move(nodes)))
        {
            candidates.push_back(std::move(node));
        }
    }
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const node_info& node : candidates)
    {
        names.push_back(node.id.str());
    }
    std::vector<node_info> sources;
    std::vector<node_info> others;
    std::map<availability_zone_name, std::size_t> chosen;
    for (const std::size_t index : rendezvous_rank(names, topic, names.size()))
    {
        const node_info& node = candidates[index];
        const bool wanted = ++chosen[node.availability_zone] <= per_zone;
        (wanted ? sources : others).push_back(node);
    }
    for (const node_info& node : others)
    {
        if (sources.size() >= sources_per_node)
        {
            break;
        }
        sources.push_back(node);
    }
    return sources;
}

std::vector<node_info> followed_sources(const std::vector<node_info>& sources,
                                        const availability_zone_name& zone)
{
    std::vector<node_info> chosen = sources;
    std::stable_partition(chosen.begin(), chosen.end(),
                          [&zone](const node_info& node)
                          { return node.availability_zone == zone; });
    chosen.resize(std::min(chosen.size(), sources_per_node));
    return chosen;
}

} // namespace parsleytrack::feeds
