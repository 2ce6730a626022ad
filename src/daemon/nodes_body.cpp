#include "daemon/nodes_body.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack
{

std::string nodes_body(const node_id& own, const fleet_view& fleet,
                       const region_table& regions, time_point now)
{
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto& [id, node] : fleet.nodes())
    {
        nodes.push_back({{"id", id.str()},
                         {"state", to_string(node.state)},
                         {"incarnation", node.incarnation.count()},
                         {"region", node.region.str()},
                         {"availability_zone", node.availability_zone.str()},
                         {"http", parsleytrack::to_string(node.http)},
                         {"peer", parsleytrack::to_string(node.peer)},
                         {"entry", node.entry},
                         {"keeper", node.keeper}});
    }
    nlohmann::json summaries = nlohmann::json::array();
    for (const auto& [region, known] : regions.all())
    {
        summaries.push_back(
            {{"region", region.str()},
             {"nodes", known.summary.nodes},
             {"release_version", known.summary.release.count()},
             {"age_ms", to_milliseconds(now - known.received)}});
    }
    return nlohmann::json{
        {"node", own.str()}, {"nodes", nodes}, {"regions", summaries}}
        .dump();
}

} // namespace parsleytrack
