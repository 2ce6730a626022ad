#include "feeds/feed_sources.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace parsleytrack::feeds
{

std::vector<node_info> feed_sources(const std::vector<node_info>& live_nodes,
                                    std::string_view topic,
                                    std::size_t max_direct_followers)
{
    if (live_nodes.size() <= max_direct_followers)
    {
        return {};
    }
    std::vector<std::string> names;
    names.reserve(live_nodes.size());
    for (const node_info& node : live_nodes)
    {
        names.push_back(node.id.str());
    }
    const std::vector<std::size_t> order =
        rendezvous_rank(names, topic, names.size());
    std::vector<node_info> sources;
    std::vector<node_info> others;
    std::set<availability_zone_name> zones;
    for (const std::size_t index : order)
    {
        const bool first =
            zones.insert(live_nodes[index].availability_zone).second;
        (first ? sources : others).push_back(live_nodes[index]);
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
