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
