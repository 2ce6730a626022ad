#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int item_count = 2;

/// Long enough that an item runs for longer than it takes to write its
/// progress.
constexpr duration event_interval = std::chrono::milliseconds(500);
constexpr duration partial_run_time = std::chrono::milliseconds(4000);

void start_items(relay_fleet& fleet)
{
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = event_interval;
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", item_count).status);
    fleet.run_for(partial_run_time);
}

/// Checks that each item has its complete output and that items were resumed.
void check_resumed(relay_fleet& fleet, int node)
{
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(5);
    }
    const nlohmann::json results = fleet.results(node, "job");
    CHECK_EQUAL(item_count, results.size());
    for (const auto& entry : results)
    {
        STRCMP_EQUAL(expected_output().c_str(),
                     entry["output"].get<std::string>().c_str());
    }
    int resumed = 0;
    for (const auto& engine : fleet.engines)
    {
        for (const auto& [request, starts] : engine->resumed_after)
        {
            for (const int after : starts)
            {
                resumed += after > 0 ? 1 : 0;
            }
        }
    }
    CHECK(resumed >= item_count);
}

} // namespace

TEST_GROUP(relay_progress){};

TEST(relay_progress, items_resume_after_all_nodes_were_killed)
{
    relay_fleet fleet(2);
    start_items(fleet);
    fleet.process(0).kill();
    fleet.process(1).kill();
    fleet.start(0);
    fleet.start(1);
    fleet.wait_ready(0);
    fleet.wait_ready(1);
    check_resumed(fleet, 0);
}

TEST(relay_progress, items_resume_at_another_node_after_a_planned_stop)
{
    relay_fleet fleet(2);
    start_items(fleet);
    fleet.process(0).signal(SIGTERM);
    CHECK(fleet.wait([&fleet] { return fleet.process(0).has_ended(); }));
    fleet.start(0);
    fleet.wait_ready(0);
    fleet.process(1).signal(SIGTERM);
    check_resumed(fleet, 0);
}

TEST(relay_progress, progress_is_erased_once_the_job_has_ended)
{
    relay_fleet fleet(1);
    start_items(fleet);
    CHECK_EQUAL(1, fleet.store.values("parsleytrack/jobs/progress/").size());
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(5);
    }
    CHECK_EQUAL(item_count, fleet.results(0, "job").size());
    CHECK(fleet.wait(
        [&fleet]
        { return fleet.store.values("parsleytrack/jobs/progress/").empty(); }));
}
