#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

TEST_GROUP(relay_replaced_processes){};

// Guards against a stream that goes on at another software version because its
// replica has started again under its id: the list of replicas that the node
// has still names the version before.
TEST(relay_replaced_processes, a_stream_does_not_go_on_at_a_replaced_process)
{
    relay_fleet_options options;
    options.engine_count = 1;
    relay_fleet fleet(options);
    replica_stand_in& replica = *fleet.engines.front();
    replica.event_interval = std::chrono::milliseconds(50);
    const auto first = std::make_shared<relay_fleet::response>();
    fleet.start_call(0, "POST", "/stream/a", "one", "", first);
    CHECK(fleet.wait([&replica] { return replica.sent_events.size() >= 3; }));
    // Changes that follow this one are collected for half a second.
    fleet.store.put("servers/i-other", "{}");
    fleet.run_for(std::chrono::milliseconds(100));
    replica.behaviour = replica_stand_in::fault::truncating;
    CHECK(fleet.wait([&first] { return first->status >= 0; }));
    replica.behaviour = replica_stand_in::fault::none;
    replica.version = "v2";
    replica.restart();
    fleet.store.put("servers/i-0", replica.record("llm"));
    fleet.caller_headers = {{"Last-Event-Id", "3"}, {"Resumes", "one"}};
    const int status = fleet.call(0, "POST", "/stream/a", "again").status;
    CHECK_EQUAL(503, status);
    for (const auto& resumed : replica.resumptions)
    {
        CHECK(replica.sent_events.contains(resumed));
    }
}

// Guards against forgetting the loss of a process because its silence had been
// reported before.
TEST(relay_replaced_processes, nor_at_one_that_was_lost_after_a_silence)
{
    constexpr duration silence = std::chrono::milliseconds(900);
    relay_fleet_options options;
    options.engine_count = 2;
    relay_fleet fleet(options);
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(50);
    }
    const auto first = std::make_shared<relay_fleet::response>();
    fleet.start_call(0, "POST", "/stream/a", "one", "", first);
    CHECK(fleet.wait(
        [&fleet]
        {
            return fleet.engines[0]->sent_events.size() +
                       fleet.engines[1]->sent_events.size() >=
                   3;
        }));
    const std::size_t used = fleet.engines[0]->open_streams() > 0 ? 0 : 1;
    replica_stand_in& replica = *fleet.engines.at(used);
    // The other one could take the stream over, but is full when it is asked.
    fleet.engines.at(1 - used)->behaviour = replica_stand_in::fault::full;
    replica.is_silent = true;
    fleet.run_for(silence);
    // Changes that follow this one are collected for half a second.
    fleet.store.put("servers/i-other", "{}");
    fleet.run_for(std::chrono::milliseconds(100));
    replica.behaviour = replica_stand_in::fault::truncating;
    replica.is_silent = false;
    CHECK(fleet.wait([&first] { return first->status >= 0; }));
    replica.behaviour = replica_stand_in::fault::none;
    replica.version = "v2";
    replica.restart();
    fleet.store.put("servers/" + replica.name(), replica.record("llm"));
    fleet.caller_headers = {{"Last-Event-Id", "3"}, {"Resumes", "one"}};
    const int status = fleet.call(0, "POST", "/stream/a", "again").status;
    CHECK_EQUAL(503, status);
    for (const auto& resumed : replica.resumptions)
    {
        CHECK(replica.sent_events.contains(resumed));
    }
}
