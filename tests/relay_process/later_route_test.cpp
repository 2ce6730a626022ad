#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// So many that each of two nodes owns some of them.
constexpr int job_count = 8;

std::string configuration_with_later_route()
{
    auto document =
        nlohmann::json::parse(relay_fleet::configuration(4, "/plain/"));
    auto route = document["routes"][3];
    route["name"] = "later";
    route["prefix"] = "/later/";
    document["routes"].push_back(route);
    return document.dump();
}

std::string job_of_one_item(const std::string& job)
{
    const nlohmann::json body{{"items",
                               {{{"id", job + "-0"},
                                 {"path", "/later/x"},
                                 {"headers", nlohmann::json::object()},
                                 {"body", "q83vEjRWeJA="},
                                 {"tokens", 100}}}}};
    return body.dump();
}

} // namespace

TEST_GROUP(relay_later_routes){};

// Guards against giving up a job whose route its owner does not know yet, since
// the owner's configuration is older than that of the node that accepted it.
TEST(relay_later_routes, a_job_waits_for_the_configuration_with_its_route)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = 2, .has_proxies = true});
    fleet.store_proxies[1]->set_fault(fault_proxy::fault::blocked);
    fleet.store.put("op/config", configuration_with_later_route());
    for (int number = 0; number < job_count; ++number)
    {
        const std::string job = "job" + std::to_string(number);
        CHECK(fleet.wait(
            [&fleet, &job]
            {
                return fleet
                           .call(0, "POST", "/later/" + job, job,
                                 job_of_one_item(job))
                           .status == 202;
            }));
    }
    fleet.run_for(std::chrono::milliseconds(200));
    fleet.store_proxies[1]->set_fault(fault_proxy::fault::none);
    for (int number = 0; number < job_count; ++number)
    {
        const auto results = fleet.results(0, "job" + std::to_string(number));
        CHECK_EQUAL(1, results.size());
        STRCMP_EQUAL("completed",
                     results[0]["state"].get<std::string>().c_str());
    }
}

// Guards the other side: items of a removed route must not wait for ever.
TEST(relay_later_routes, a_job_is_given_up_when_its_route_is_removed)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    CHECK_EQUAL(202, fleet.submit(0, "job", 1).status);
    auto document =
        nlohmann::json::parse(relay_fleet::configuration(4, "/plain/"));
    document["routes"].erase(3);
    fleet.store.put("op/config", document.dump());
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(1, results.size());
    STRCMP_EQUAL("dead_letter", results[0]["state"].get<std::string>().c_str());
}
