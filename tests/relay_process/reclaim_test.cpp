#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

TEST_GROUP(relay_reclaim){};

// Guards against handling the response of a run that was ended while this
// response was waiting to be read: its slot was reclaimed for an online request
// in the same turn of the loop. The process ended by it.
TEST(relay_reclaim, a_response_that_follows_the_end_of_its_run_is_ignored)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 2});
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    for (int job = 0; job < 4; ++job)
    {
        const std::string name = "job" + std::to_string(job);
        CHECK_EQUAL(202, fleet.submit(0, name, 40).status);
    }
    std::vector<std::shared_ptr<relay_fleet::response>> responses;
    const time_point limit = net::event_loop::now() + std::chrono::seconds(6);
    while (net::event_loop::now() < limit)
    {
        for (int count = 0; count < 4; ++count)
        {
            const auto response = std::make_shared<relay_fleet::response>();
            fleet.start_call(0, "POST", "/once/a",
                             "r" + std::to_string(responses.size()), "",
                             response);
            responses.push_back(response);
        }
        fleet.run_for(std::chrono::milliseconds(40));
        CHECK_FALSE(fleet.process(0).has_ended());
    }
}

// Guards against slots that stay with a node which stands still: its
// connections stay open, and no other node could use the slots.
TEST(relay_reclaim, slots_of_a_frozen_node_are_granted_to_others)
{
    relay_fleet fleet(3);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(200);
    }
    CHECK_EQUAL(202, fleet.submit(0, "job", 40).status);
    fleet.run_for(std::chrono::seconds(1));
    for (int node = 0; node < 3; ++node)
    {
        const auto jobs = fleet.status(node)["jobs"];
        if (!jobs.empty())
        {
            fleet.process(node).signal(SIGSTOP);
            const auto results = fleet.results((node + 1) % 3, "job");
            CHECK_EQUAL(40, results.size());
            fleet.process(node).signal(SIGCONT);
            return;
        }
    }
    FAIL("no node owns the job");
}
