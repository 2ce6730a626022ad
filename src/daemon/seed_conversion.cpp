#include "daemon/seed_conversion.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace parsleytrack
{

std::string encode_seeds(const std::vector<seed_entry>& seeds)
{
    nlohmann::json list = nlohmann::json::array();
    for (const seed_entry& entry : seeds)
    {
        list.push_back({{"node", entry.node.str()},
                        {"host", entry.peer.host},
                        {"port", entry.peer.port}});
    }
    return nlohmann::json{{"seeds", list}}.dump();
}

std::vector<seed_entry> decode_seeds(const std::string& value)
{
    std::vector<seed_entry> seeds;
    const auto document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("seeds"))
    {
        return seeds;
    }
    for (const auto& item : document["seeds"])
    {
        const bool complete =
            item.is_object() && item.contains("node") &&
            item["node"].is_string() && item.contains("host") &&
            item["host"].is_string() && item.contains("port") &&
            item["port"].is_number_unsigned() &&
            item["port"].get<std::uint64_t>() <=
                std::numeric_limits<std::uint16_t>::max();
        if (complete)
        {
            seeds.push_back(
                seed_entry{node_id(item["node"].get<std::string>()),
                           endpoint{item["host"].get<std::string>(),
                                    item["port"].get<std::uint16_t>()}});
        }
    }
    return seeds;
}

} // namespace parsleytrack
