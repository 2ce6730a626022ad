#include "relay_support/crowded_node.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// Together they are larger than the node's memory.
constexpr int job_count = 100;

} // namespace

// Guards against a node that runs out of memory because it holds all jobs that
// it has accepted and that wait, and again each time it takes them up.
TEST_GROUP(relay_crowd_jobs){};

TEST(relay_crowd_jobs, accepted_jobs_that_wait)
{
    relay_fleet_options options = crowded_node::limited(false);
    options.engine_count = 0;
    crowded_node node(crowd_limits::whole, options);
    relay_fleet& fleet = node.fleet();
    const std::string job =
        large_submission(crowd_limits::max_body - crowd_limits::missing_bytes);
    for (int number = 0; number < job_count; ++number)
    {
        const std::string id = "job" + std::to_string(number);
        CHECK_EQUAL(202, fleet.call(0, "POST", "/batch/a", id, job).status);
    }
    node.check();
    fleet.process(0).kill();
    fleet.start(0);
    fleet.wait_ready(0);
    replica_stand_in replica(fleet.loop, "i-late");
    fleet.store.put("servers/i-late", replica.record("llm"));
    for (int number = 0; number < job_count; ++number)
    {
        const auto results = fleet.results(0, "job" + std::to_string(number));
        CHECK_EQUAL(1, results.size());
    }
    node.check();
}
