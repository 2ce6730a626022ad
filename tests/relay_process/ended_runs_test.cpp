#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

TEST_GROUP(relay_ended_runs){};

// Guards against a node that ends when the runs of a job are ended: the slot of
// one run goes to another run of the job, which cannot use it and reports its
// end although it is being ended, too.
TEST(relay_ended_runs, a_job_ends_while_its_node_reaches_no_replica)
{
    relay_fleet_options options;
    options.node_count = 1;
    options.has_node_links = true;
    relay_fleet fleet(options);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(300);
    }
    // More items than there are slots.
    constexpr int items = 60;
    CHECK_EQUAL(202, fleet.submit(0, "job", items).status);
    CHECK(fleet.wait(
        [&fleet]
        {
            return std::all_of(fleet.engines.begin(), fleet.engines.end(),
                               [](const auto& engine)
                               { return engine->open_streams() > 0; });
        }));
    fleet.set_replica_links(0, fault_proxy::fault::unreachable);
    const auto response = std::make_shared<relay_fleet::response>();
    fleet.start_call(0, "POST", "/stream/a", "online", "", response);
    CHECK(fleet.wait(
        [&fleet]
        {
            return fleet.metrics_text(0).find("\nparsleytrack_stranded 1") !=
                   std::string::npos;
        }));
    fleet.call(0, "DELETE", "/v1/lots/job");
    fleet.run_for(std::chrono::seconds(1));
    CHECK_FALSE(fleet.process(0).has_ended());
    const auto after = fleet.call(0, "POST", "/stream/a", "after");
    CHECK(after.status >= 500);
}
