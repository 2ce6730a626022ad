#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/repeating_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// More than the route's maxAttempts, which is 2.
constexpr int failures = 3;

/// \returns The results of a job of one item, at a replica that answers its
/// first runs with an error.
nlohmann::json results_after(const std::string& status)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    repeating_replica engine(
        fleet.loop,
        [&status](const std::string& request, int arrival)
        {
            return arrival <= failures
                       ? repeating_replica::reply{repeating_replica::response(
                             status, request, "error")}
                       : repeating_replica::reply{repeating_replica::response(
                             "200 OK", request, expected_stream())};
        });
    fleet.store.put("servers/i-failing", engine.record("llm"));
    CHECK_EQUAL(202, fleet.submit(0, "job", 1).status);
    return fleet.results(0, "job");
}

} // namespace

TEST_GROUP(relay_item_failures){};

// Guards against giving up an item for errors that are not the item's, such as
// a replica's own timeout.
TEST(relay_item_failures, other_errors_do_not_end_an_item)
{
    for (const char* status :
         {"504 Gateway Timeout", "502 Bad Gateway", "503 Service Unavailable",
          "429 Too Many Requests"})
    {
        const auto results = results_after(status);
        CHECK_EQUAL(1, results.size());
        STRCMP_EQUAL("completed",
                     results[0]["state"].get<std::string>().c_str());
    }
}

TEST(relay_item_failures, an_item_that_fails_again_and_again_is_given_up)
{
    const auto results = results_after("500 Internal Server Error");
    CHECK_EQUAL(1, results.size());
    STRCMP_EQUAL("dead_letter", results[0]["state"].get<std::string>().c_str());
}
