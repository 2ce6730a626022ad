#include "soak/moving_routes.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack::soak
{

namespace
{

constexpr const char* other_service = "other";
constexpr int replica_count = 2;

} // namespace

moving_routes::moving_routes(relay_support::relay_fleet& fleet,
                             random_source& random_numbers)
    : random(random_numbers)
{
    for (int number = 0; number < replica_count; ++number)
    {
        const std::string name = "o-" + std::to_string(number);
        const auto& replica = this->other_replicas.emplace_back(
            std::make_unique<relay_support::replica_stand_in>(fleet.loop,
                                                              name));
        replica->event_interval = fleet.engines.front()->event_interval;
        fleet.store.put("servers/" + name, replica->record(other_service));
    }
}

std::string moving_routes::configuration(int version)
{
    auto document = nlohmann::json::parse(
        relay_support::relay_fleet::configuration(version, "/plain/"));
    document["services"].push_back({{"name", other_service},
                                    {"healthPath", "/health"},
                                    {"maxConns", 100}});
    for (auto& route : document["routes"])
    {
        if (route["service"] != "llm")
        {
            continue;
        }
        const auto choice = this->random() % 3;
        if (choice == 1)
        {
            route["service"] = other_service;
        }
        if (choice == 2)
        {
            route.erase("service");
            route["trafficSplit"] = nlohmann::json::parse(
                R"([{"service":"llm","weight":1},
                    {"service":"other","weight":2}])");
        }
    }
    return document.dump();
}

} // namespace parsleytrack::soak
