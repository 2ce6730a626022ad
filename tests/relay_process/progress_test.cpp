#include "relay/job_keys.hpp"
#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

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

// Otherwise the job waits for a scan of the records, of which there are few in
// a large group.
TEST(relay_progress, a_stopping_owner_names_the_next_one)
{
    constexpr int node_count = 3;
    relay_fleet fleet(node_count);
    start_items(fleet);
    int owner = -1;
    CHECK(fleet.wait(
        [&]
        {
            for (int node = 0; node < node_count && owner < 0; ++node)
            {
                owner = fleet.status(node)["jobs"].empty() ? -1 : node;
            }
            return owner >= 0;
        }));
    const std::string owner_name = "n" + std::to_string(owner);
    const auto record_names_owner = [&]
    {
        const auto records = fleet.store.values(relay::job_state_prefix);
        return records.at(0).find(owner_name) != std::string::npos;
    };
    CHECK(record_names_owner());
    // The others cannot take the job over.
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), node != owner);
    }
    fleet.process(owner).signal(SIGTERM);
    CHECK(fleet.wait([&] { return !record_names_owner(); }));
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), false);
    }
    check_resumed(fleet, (owner + 1) % node_count);
}

// After a kill of all nodes the view of the group takes two seconds to form.
TEST(relay_progress, a_restarted_node_goes_on_with_its_jobs_at_once)
{
    relay_fleet fleet(1);
    start_items(fleet);
    fleet.process(0).kill();
    fleet.start(0);
    fleet.wait_ready(0);
    fleet.run_for(std::chrono::milliseconds(1000));
    CHECK_EQUAL(1, fleet.status(0)["jobs"].size());
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
