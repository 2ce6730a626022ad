#include "joined_runs.hpp"
#include "relay_support/raw_caller.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// \returns How many items have got their last event.
std::size_t ended_items(const relay_fleet& fleet)
{
    std::set<std::string> ended;
    for (const auto& engine : fleet.engines)
    {
        for (const auto& [request, event, version] : engine->sent_events)
        {
            if (event == replica_stand_in::stream_events)
            {
                ended.insert(request);
            }
        }
    }
    return ended.size();
}

/// Runs a job's items at a replica of another version than the list of
/// replicas names, which ends them after three events.
///
/// \param node_count Number of nodes.
/// \param before Called when the job has been accepted and nothing has run.
std::unique_ptr<relay_fleet> begin_items_at_unlisted_version(
    int node_count, const std::function<void(relay_fleet&)>& before = {})
{
    relay_fleet_options options;
    options.node_count = node_count;
    options.engine_count = 2;
    auto fleet = std::make_unique<relay_fleet>(options);
    replica_stand_in& unlisted = *fleet->engines.front();
    unlisted.version = "v2";
    unlisted.behaviour = replica_stand_in::fault::full;
    fleet->engines.back()->behaviour = replica_stand_in::fault::full;
    CHECK_EQUAL(202, fleet->submit(0, "job", 2).status);
    if (before)
    {
        before(*fleet);
    }
    unlisted.behaviour = replica_stand_in::fault::truncating;
    CHECK(
        fleet->wait([&unlisted] { return unlisted.sent_events.size() >= 3; }));
    unlisted.stop();
    fleet->engines.back()->behaviour = replica_stand_in::fault::none;
    return fleet;
}

} // namespace

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

// Guards against an item that has begun at a replica which is back with
// another version than the list names, and goes on at a replica of the listed
// one before the list has changed.
TEST(relay_replaced_processes, items_of_short_runs_do_not_go_on_unconfirmed)
{
    const auto fleet = begin_items_at_unlisted_version(1);
    fleet->run_for(std::chrono::milliseconds(500));
    fleet->engines.front()->restart();
    fleet->store.put("servers/i-0", fleet->engines.front()->record("llm"));
    const auto results = fleet->results(0, "job");
    CHECK_EQUAL(2, results.size());
    CHECK_EQUAL(0, joined_runs(*fleet));
}

// Guards against the same at the node that the job is handed over to.
TEST(relay_replaced_processes, nor_at_the_next_owner)
{
    const auto fleet = begin_items_at_unlisted_version(2);
    const int owner = fleet->status(0)["jobs"].empty() ? 1 : 0;
    fleet->process(owner).signal(SIGTERM);
    CHECK(fleet->wait([&fleet, owner]
                      { return fleet->process(owner).has_ended(); }));
    const auto results = fleet->results(1 - owner, "job");
    CHECK_EQUAL(2, results.size());
    CHECK_EQUAL(0, joined_runs(*fleet));
}

// Guards against trust in a list that cannot show a change: the store is away.
TEST(relay_replaced_processes, nor_while_the_store_is_away)
{
    const auto lose_store = [](relay_fleet& fleet)
    {
        fleet.store.set_refusing(fleet.store_address(0), true);
        CHECK(fleet.wait(
            [&fleet]
            { return fleet.status(0)["store"]["reachable"] == false; }));
    };
    const auto fleet = begin_items_at_unlisted_version(1, lose_store);
    fleet->engines.front()->restart();
    CHECK(fleet->wait([&fleet] { return ended_items(*fleet) == 2; }));
    CHECK_EQUAL(0, joined_runs(*fleet));
}

// Guards against the same where the node that has lost the replica is the
// broker of its slots and ends, too: the next broker must know of the loss.
TEST(relay_replaced_processes, nor_when_the_broker_that_knew_of_the_loss_ends)
{
    relay_fleet_options options;
    options.node_count = 2;
    options.engine_count = 2;
    options.storage_count = 1;
    relay_fleet fleet(options);
    // With a second version, the storage node remembers what began a stream.
    replica_stand_in newer(fleet.loop, "newer");
    newer.version = "v2";
    newer.behaviour = replica_stand_in::fault::full;
    fleet.store.put("servers/newer", newer.record("llm"));
    replica_stand_in& lost = *fleet.engines.front();
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(100);
    }
    fleet.run_for(std::chrono::seconds(1));
    CHECK_EQUAL(200, fleet.call(0, "POST", "/stream/a", "first").status);
    const int broker = fleet.status(0)["pools"].empty() ? 1 : 0;
    // As many as both replicas run at a time.
    constexpr int streams = 8;
    for (int number = 0; number < streams; ++number)
    {
        fleet.start_call(broker, "POST", "/stream/a",
                         "s" + std::to_string(number), "",
                         std::make_shared<relay_fleet::response>());
    }
    CHECK(fleet.wait([&lost] { return lost.sent_events.size() > 16; }));
    lost.behaviour = replica_stand_in::fault::truncating;
    CHECK(fleet.wait([&lost] { return lost.open_streams() == 0; }));
    lost.behaviour = replica_stand_in::fault::none;
    lost.version = "v2";
    lost.restart();
    fleet.run_for(std::chrono::milliseconds(100));
    fleet.process(broker).kill();
    for (int number = 0; number < streams; ++number)
    {
        fleet.caller_headers = {{"Last-Event-Id", "3"},
                                {"Resumes", "s" + std::to_string(number)}};
        fleet.start_call(1 - broker, "POST", "/stream/a",
                         "again" + std::to_string(number), "",
                         std::make_shared<relay_fleet::response>());
    }
    fleet.run_for(std::chrono::seconds(2));
    for (const auto& [request, event, version] : lost.resumptions)
    {
        STRCMP_EQUAL("v1", version.c_str());
    }
}

// Guards against the same after several replicas have crashed together: that
// was taken for the loss of a link of the node.
TEST(relay_replaced_processes, nor_after_some_of_the_replicas_crash_together)
{
    constexpr int streams = 12;
    constexpr int crash_size = 3;
    relay_fleet_options options;
    options.engine_count = 4 * crash_size;
    relay_fleet fleet(options);
    const auto for_each = [&fleet](int first, const auto& change)
    {
        for (int number = first; number < first + crash_size; ++number)
        {
            change(*fleet.engines[static_cast<std::size_t>(number)]);
        }
    };
    const auto be_full = [](replica_stand_in& engine)
    {
        engine.behaviour = replica_stand_in::fault::full;
    };
    for_each(2 * crash_size, be_full);
    for_each(3 * crash_size, be_full);
    for (const auto& engine : fleet.engines)
    {
        engine->event_count = 100;
        engine->event_interval = std::chrono::milliseconds(20);
    }
    for (int number = 0; number < streams; ++number)
    {
        const std::string id = std::to_string(number);
        // Of one content, they would be taken for a request that crashes
        // replicas.
        fleet.start_call(0, "POST", "/stream/" + id, id, "",
                         std::make_shared<relay_fleet::response>());
    }
    fleet.run_for(std::chrono::milliseconds(500));
    // The streams of the second ones may go on at the first ones.
    for (const int first : {0, crash_size})
    {
        for_each(first,
                 [](replica_stand_in& engine)
                 {
                     CHECK(engine.open_streams() > 0);
                     engine.behaviour = replica_stand_in::fault::truncating;
                 });
        fleet.run_for(std::chrono::milliseconds(50));
        for_each(first,
                 [](replica_stand_in& engine)
                 {
                     engine.behaviour = replica_stand_in::fault::none;
                     engine.version = "v2";
                     engine.restart();
                 });
        fleet.run_for(std::chrono::milliseconds(500));
    }
    CHECK_EQUAL(0, joined_runs(fleet));
}

// Guards against events of a replica that nobody has lost: it started again
// while no request was there, and its record still names the version before.
TEST(relay_replaced_processes, nor_at_one_that_had_no_request)
{
    relay_fleet_options options;
    options.engine_count = 2;
    relay_fleet fleet(options);
    // Where one version serves, another is not expected.
    replica_stand_in newer(fleet.loop, "newer");
    newer.version = "v2";
    newer.behaviour = replica_stand_in::fault::full;
    fleet.store.put("servers/newer", newer.record("llm"));
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(50);
    }
    fleet.run_for(std::chrono::seconds(1));
    raw_caller caller(fleet.loop, fleet.front_address(0));
    caller.send("POST /stream/a HTTP/1.1\r\nHost: h\r\n"
                "Parsleytrack-Request-Id: one\r\n"
                "Parsleytrack-Deadline-Ms: 5000\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n");
    const auto has_stream = [&fleet](std::size_t engine)
    {
        return fleet.engines[engine]->sent_events.size() >= 3;
    };
    CHECK(fleet.wait([&has_stream] { return has_stream(0) || has_stream(1); }));
    replica_stand_in& used = *fleet.engines[has_stream(0) ? 0 : 1];
    replica_stand_in& idle = *fleet.engines[has_stream(0) ? 1 : 0];
    idle.version = "v2";
    idle.restart();
    used.behaviour = replica_stand_in::fault::truncating;
    CHECK(fleet.wait([&idle] { return !idle.resumptions.empty(); }));
    const int last = std::get<1>(*idle.resumptions.begin());
    fleet.run_for(std::chrono::milliseconds(700));
    fleet.store.put("servers/" + idle.name(), idle.record("llm"));
    const std::string received = caller.read_until_lost();
    STRCMP_CONTAINS(("id: " + std::to_string(last) + "\n").c_str(),
                    received.c_str());
    CHECK_TEXT(received.find("id: " + std::to_string(last + 1) + "\n") ==
                   std::string::npos,
               received.c_str());
}
