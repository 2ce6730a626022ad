#include "decisions/rendezvous.hpp"
#include "joined_runs.hpp"
#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// \returns The nodes by their rank for a job or a pool, the preferred first.
std::vector<int> nodes_by_rank(int node_count, const std::string& key)
{
    std::vector<int> nodes(static_cast<std::size_t>(node_count));
    std::iota(nodes.begin(), nodes.end(), 0);
    std::sort(nodes.begin(), nodes.end(),
              [&key](int left, int right)
              {
                  return rendezvous_score("n" + std::to_string(left), key) >
                         rendezvous_score("n" + std::to_string(right), key);
              });
    return nodes;
}

/// \returns An id of a job that neither the first nor the next owner of which
/// is the broker.
std::string job_away_from(int broker, int node_count)
{
    for (int number = 0;; ++number)
    {
        std::string job = "job" + std::to_string(number);
        const std::vector<int> nodes = nodes_by_rank(node_count, job);
        if (nodes[0] != broker && nodes[1] != broker)
        {
            return job;
        }
    }
}

/// Ends all streams that replicas have begun, as replicas do that crash.
///
/// \returns Whether they have ended.
bool lose_streams(relay_fleet& fleet)
{
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::truncating;
    }
    const bool ended = fleet.wait(
        [&fleet]
        {
            return std::all_of(fleet.engines.begin(), fleet.engines.end(),
                               [](const auto& engine)
                               { return engine->open_streams() == 0; });
        });
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    return ended;
}

} // namespace

TEST_GROUP(relay_doubted_replicas){};

// Guards against items that wait beside free replicas for good: their broker
// doubts all replicas when they ask, and their owner, which has just taken the
// job over, doubts none.
TEST(relay_doubted_replicas, items_wait_no_longer_than_their_broker_doubts)
{
    constexpr int node_count = 4;
    constexpr int item_count = 2;
    constexpr int begun_events = 24;
    relay_fleet_options options;
    options.node_count = node_count;
    options.engine_count = 2;
    relay_fleet fleet(options);
    const int broker = nodes_by_rank(node_count, "llm/0").front();
    const std::string job = job_away_from(broker, node_count);
    const int owner = nodes_by_rank(node_count, job).front();
    for (const auto& engine : fleet.engines)
    {
        // So that the list of replicas confirms the version in time.
        engine->event_interval = std::chrono::milliseconds(100);
        engine->event_count = begun_events + 2;
    }
    CHECK_EQUAL(202, fleet.submit(broker, job, item_count).status);
    CHECK(fleet.wait(
        [&fleet]
        {
            return fleet.engines[0]->sent_events.size() +
                       fleet.engines[1]->sent_events.size() >=
                   item_count * begun_events;
        }));
    CHECK(lose_streams(fleet));
    fleet.process(owner).signal(SIGTERM);
    CHECK(fleet.wait([&fleet, owner]
                     { return fleet.process(owner).has_ended(); }));
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
        engine->event_interval = std::chrono::milliseconds(5);
    }
    const auto results = fleet.results(broker, job);
    CHECK_EQUAL(item_count, results.size());
    CHECK_EQUAL(0, joined_runs(fleet));
}

// Guards against the same for a stream: its broker knows that the replica of
// its version has crashed, and does not notice that it is back.
TEST(relay_doubted_replicas, streams_go_on_when_the_list_names_their_version)
{
    constexpr int node_count = 3;
    relay_fleet_options options;
    options.node_count = node_count;
    options.engine_count = 2;
    relay_fleet fleet(options);
    const std::vector<int> nodes = nodes_by_rank(node_count, "llm/0");
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(50);
    }
    // The node that is asked later knows the version, and of no loss.
    CHECK_EQUAL(200, fleet.call(nodes[2], "POST", "/stream/a", "one").status);
    std::vector<std::shared_ptr<relay_fleet::response>> lost;
    for (int number = 0; number < 4; ++number)
    {
        lost.push_back(std::make_shared<relay_fleet::response>());
        fleet.start_call(nodes[1], "POST", "/stream/a",
                         "lost" + std::to_string(number), "", lost.back());
    }
    CHECK(fleet.wait(
        [&fleet]
        {
            return std::all_of(fleet.engines.begin(), fleet.engines.end(),
                               [](const auto& engine)
                               { return engine->open_streams() >= 2; });
        }));
    CHECK(lose_streams(fleet));
    fleet.caller_headers = {{"Last-Event-Id", "3"}, {"Resumes", "one"}};
    const auto resumed = std::make_shared<relay_fleet::response>();
    fleet.start_call(nodes[2], "POST", "/stream/a", "again", "", resumed);
    fleet.run_for(std::chrono::milliseconds(300));
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
        engine->restart();
        fleet.store.put("servers/" + engine->name(), engine->record("llm"));
    }
    CHECK(fleet.wait([&resumed] { return resumed->status >= 0; }));
    CHECK_EQUAL(200, resumed->status);
    std::size_t runs = 0;
    for (const auto& engine : fleet.engines)
    {
        runs += engine->resumed_after["again"].size();
    }
    CHECK_EQUAL(1, runs);
}

// Guards against a stream that waits beside the free replica of its version
// since that one had ended before: another process has its id.
TEST(relay_doubted_replicas, streams_go_on_at_the_next_process_of_a_replica)
{
    relay_fleet_options options;
    options.engine_count = 2;
    relay_fleet fleet(options);
    constexpr int slots = 8;
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = std::chrono::milliseconds(50);
        engine->event_count = 40;
    }
    std::vector<std::shared_ptr<relay_fleet::response>> streams;
    for (int number = 0; number < slots; ++number)
    {
        streams.push_back(std::make_shared<relay_fleet::response>());
        fleet.start_call(0, "POST", "/stream/a",
                         "stream" + std::to_string(number), "", streams.back());
    }
    replica_stand_in& ending = *fleet.engines.front();
    CHECK(fleet.wait(
        [&fleet, &ending]
        {
            return ending.open_streams() == slots / 2 &&
                   fleet.engines.back()->open_streams() == slots / 2 &&
                   ending.sent_events.size() >= 2 * slots;
        }));
    ending.behaviour = replica_stand_in::fault::truncating;
    CHECK(fleet.wait([&ending] { return ending.open_streams() == 0; }));
    const std::size_t sent_before = ending.sent_events.size();
    ending.behaviour = replica_stand_in::fault::none;
    ending.restart();
    fleet.store.put("servers/" + ending.name(), ending.record("llm"));
    const time_point limit =
        net::event_loop::now() + std::chrono::milliseconds(1500);
    fleet.wait(
        [&ending, sent_before, limit]
        {
            return ending.sent_events.size() > sent_before ||
                   net::event_loop::now() > limit;
        });
    CHECK(ending.sent_events.size() > sent_before);
    CHECK(fleet.wait(
        [&streams]
        {
            return std::all_of(streams.begin(), streams.end(),
                               [](const auto& stream)
                               { return stream->status >= 0; });
        }));
    for (const auto& stream : streams)
    {
        CHECK_EQUAL(200, stream->status);
    }
    CHECK_EQUAL(0, joined_runs(fleet));
}
