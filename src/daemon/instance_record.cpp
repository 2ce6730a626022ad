#include "daemon/instance_record.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace parsleytrack
{

namespace
{

replica_info read_record(const nlohmann::json& record)
{
    replica_info replica;
    replica.address.host = record.at("host").get<std::string>();
    const int port = record.at("port").get<int>();
    if (port < 1 || port > std::numeric_limits<std::uint16_t>::max())
    {
        throw std::out_of_range("port");
    }
    replica.address.port = static_cast<std::uint16_t>(port);
    replica.availability_zone = availability_zone_name(
        record.value("availability_zone", std::string()));
    const bool leaving = record.value("state", "live") == "leaving";
    replica.state = leaving ? replica_state::leaving : replica_state::live;
    return replica;
}

} // namespace

std::optional<replica_info> parse_instance(const std::string& key,
                                           const std::string& value)
{
    const std::size_t service_start = instance_prefix.size();
    const std::size_t slash = key.find('/', service_start);
    if (!key.starts_with(instance_prefix) || slash == std::string::npos ||
        slash == service_start || slash + 1 == key.size())
    {
        return std::nullopt;
    }
    try
    {
        replica_info replica = read_record(nlohmann::json::parse(value));
        replica.service =
            service_name(key.substr(service_start, slash - service_start));
        replica.id = replica_id(key.substr(slash + 1));
        return replica;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace parsleytrack
