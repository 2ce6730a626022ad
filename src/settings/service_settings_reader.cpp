#include "settings/settings_reader.hpp"

#include "units/endpoint_parser.hpp"

namespace parsleytrack::settings::detail
{

namespace
{

constexpr int max_slots = 4096;
constexpr duration min_timeout = std::chrono::milliseconds(10);
constexpr duration max_timeout = std::chrono::hours(1);

route_settings read_route(object_reader& reader)
{
    route_settings route;
    route.method = reader.optional_text("method");
    route.path_prefix = reader.required_text("path_prefix");
    if (!route.path_prefix.empty() && route.path_prefix.front() != '/')
    {
        reader.report("path_prefix", "must begin with \"/\"");
    }
    route.idempotent = reader.flag("idempotent", false);
    return route;
}

replica_settings read_replica(object_reader& reader)
{
    replica_settings replica;
    replica.id = replica_id(reader.required_text("id"));
    const std::string address = reader.required_text("address");
    if (!address.empty() && !parse_endpoint(address, replica.address))
    {
        reader.report("address", "must be a string \"IP:PORT\"");
    }
    replica.availability_zone =
        availability_zone_name(reader.required_text("availability_zone"));
    return replica;
}

} // namespace

service_settings read_service_settings(object_reader& reader)
{
    service_settings service;
    service.name = service_name(reader.required_text("name"));
    const std::size_t kind = reader.choice("kind", {"engine", "plain"}, 0);
    service.kind = kind == 0 ? service_kind::engine : service_kind::plain;
    service.slots =
        static_cast<int>(reader.integer("slots", service.slots, 1, max_slots));
    service.online_reserve = static_cast<int>(
        reader.integer("online_reserve", service.online_reserve, 0, max_slots));
    if (service.online_reserve > service.slots)
    {
        reader.report("online_reserve", "must not be larger than slots");
    }
    service.checks_fencing =
        reader.flag("checks_fencing", service.checks_fencing);
    service.online_deadline = reader.seconds(
        "online_deadline_s", service.online_deadline, min_timeout, max_timeout);
    service.first_byte_timeout =
        reader.seconds("first_byte_timeout_s", service.first_byte_timeout,
                       min_timeout, max_timeout);
    service.idle_timeout = reader.seconds(
        "idle_timeout_s", service.idle_timeout, min_timeout, max_timeout);
    reader.each("routes", [&service](object_reader& route)
                { service.routes.push_back(read_route(route)); });
    if (service.kind == service_kind::engine && !service.routes.empty())
    {
        reader.report("routes", "is only allowed for a plain service");
    }
    reader.each("replicas", [&service](object_reader& replica)
                { service.replicas.push_back(read_replica(replica)); });
    return service;
}

} // namespace parsleytrack::settings::detail
