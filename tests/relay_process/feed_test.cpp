#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>
#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int node_count = 5;
/// Two of the nodes watch the store, and the other three follow these two.
constexpr int max_direct_followers = 2;
constexpr std::size_t source_count = 2;
const std::string replica_prefix = "servers/";

/// Changes the list of replicas. This ends the open watches of nodes that no
/// longer watch the store.
void change_replica_list(relay_fleet& fleet, int number)
{
    fleet.store.put("servers/i-broken", std::to_string(number));
}

/// \returns The nodes that watch a prefix of the store.
std::set<int> watching_nodes(relay_fleet& fleet, const std::string& prefix)
{
    const auto watchers = fleet.store.watchers(prefix);
    std::set<int> nodes;
    for (int node = 0; node < node_count; ++node)
    {
        if (watchers.contains(fleet.store_address(node)))
        {
            nodes.insert(node);
        }
    }
    return nodes;
}

/// \returns How many stale reads a node has made, such as scans of jobs.
int stale_reads(relay_fleet& fleet, int node)
{
    const std::string text = fleet.metrics_text(node);
    const std::string name = "parsleytrack_store_calls{kind=\"stale_read\"} ";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoi(text.substr(at + name.size()));
}

/// Waits until only the sources watch the store.
///
/// \returns The numbers of the source nodes.
std::set<int> wait_for_sources(relay_fleet& fleet)
{
    int number = 0;
    std::set<int> sources;
    CHECK(fleet.wait(
        [&]
        {
            change_replica_list(fleet, ++number);
            fleet.run_for(std::chrono::milliseconds(700));
            sources = watching_nodes(fleet, replica_prefix);
            return sources.size() == source_count;
        }));
    return sources;
}

/// \returns Whether a node sends requests to a replica.
bool uses_replica(relay_fleet& fleet, int node, const replica_stand_in& replica)
{
    static int number = 0;
    for (int count = 0; count < 6; ++count)
    {
        const std::string id = "probe" + std::to_string(++number);
        fleet.call(node, "POST", "/stream/a", id);
        if (replica.runs.contains(id))
        {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(relay_feeds){};

TEST(relay_feeds, few_nodes_watch_the_store_and_all_receive_changes)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    wait_for_sources(fleet);
    // A leaving replica gets no new requests two seconds after it reported that
    // it drains.
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm", "draining"));
    fleet.run_for(std::chrono::seconds(2));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_FALSE(uses_replica(fleet, node, *fleet.engines[0]));
    }
    CHECK_EQUAL(source_count, fleet.store.watchers(replica_prefix).size());
}

TEST(relay_feeds, nodes_that_the_store_refuses_receive_changes)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    const std::set<int> sources = wait_for_sources(fleet);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node),
                                 !sources.contains(node));
    }
    fleet.store.erase("servers/i-1");
    fleet.run_for(std::chrono::seconds(2));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_FALSE(uses_replica(fleet, node, *fleet.engines[1]));
    }
}

TEST(relay_feeds, unresponsive_sources_are_replaced)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    const std::set<int> sources = wait_for_sources(fleet);
    for (const int node : sources)
    {
        fleet.process(node).signal(SIGSTOP);
    }
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm", "draining"));
    // Covers the timeout for unresponsive sources and the time in which changes
    // must arrive.
    fleet.run_for(std::chrono::milliseconds(3000));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK(sources.contains(node) ||
              !uses_replica(fleet, node, *fleet.engines[0]));
    }
    for (const int node : sources)
    {
        fleet.process(node).signal(SIGCONT);
    }
}

TEST(relay_feeds, the_rate_of_calls_is_limited_during_an_outage)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    wait_for_sources(fleet);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), true);
    }
    change_replica_list(fleet, 1000);
    fleet.run_for(std::chrono::seconds(2));
    const int before = fleet.store.refused_calls();
    constexpr int seconds = 5;
    fleet.run_for(std::chrono::seconds(seconds));
    // A node watches two lists, each of which it may request once a second, and
    // looks for jobs without an owner every two seconds.
    constexpr double max_calls_per_second = 2.5;
    CHECK(fleet.store.refused_calls() - before <=
          node_count * seconds * max_calls_per_second);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), false);
    }
    fleet.store.erase("servers/i-2");
    CHECK(fleet.wait(
        [&fleet]
        {
            for (int node = 0; node < node_count; ++node)
            {
                if (uses_replica(fleet, node, *fleet.engines[2]))
                {
                    return false;
                }
            }
            return true;
        }));
}

TEST(relay_feeds, few_nodes_watch_the_configuration_and_all_apply_it)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    const std::string key = "op/config";
    int version = 10;
    CHECK(fleet.wait(
        [&]
        {
            fleet.store.put(key, relay_fleet::configuration(++version, "/p/"));
            fleet.run_for(std::chrono::milliseconds(700));
            return watching_nodes(fleet, key).size() == source_count;
        }));
    fleet.store.put(key, relay_fleet::configuration(++version, "/changed/"));
    // As the platform's smaller deployments require it.
    fleet.run_for(std::chrono::seconds(2));
    for (int node = 0; node < node_count; ++node)
    {
        const std::string id = "changed" + std::to_string(node);
        const auto response = fleet.call(node, "POST", "/changed/a", id);
        CHECK_EQUAL(200, response.status);
    }
    CHECK_EQUAL(source_count, watching_nodes(fleet, key).size());
}

TEST(relay_feeds, few_nodes_scan_the_jobs_and_those_of_a_killed_node_go_on)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    wait_for_sources(fleet);
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::full;
    }
    constexpr int jobs = 10;
    for (int job = 0; job < jobs; ++job)
    {
        const std::string name = "job" + std::to_string(job);
        const auto response = fleet.submit(job % node_count, name, 2);
        CHECK_EQUAL(202, response.status);
    }
    std::vector<int> before;
    for (int node = 0; node < node_count; ++node)
    {
        before.push_back(stale_reads(fleet, node));
    }
    fleet.run_for(std::chrono::seconds(7));
    std::size_t scanners = 0;
    for (int node = 0; node < node_count; ++node)
    {
        const int reads = stale_reads(fleet, node) -
                          before.at(static_cast<std::size_t>(node));
        scanners += reads > 1 ? 1 : 0;
    }
    CHECK_EQUAL(source_count, scanners);
    fleet.process(1).kill();
    for (auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
    }
    for (int job = 0; job < jobs; ++job)
    {
        const auto results = fleet.results(2, "job" + std::to_string(job));
        CHECK_EQUAL(2, results.size());
    }
}

TEST(relay_feeds, a_node_started_while_the_store_refuses_it_serves)
{
    relay_fleet fleet(3);
    fleet.process(1).kill();
    fleet.store.set_refusing(fleet.store_address(1), true);
    fleet.start(1);
    fleet.wait_ready(1);
    const auto plain = fleet.call(1, "POST", "/plain/a", "id1");
    CHECK_EQUAL(200, plain.status);
    const auto stream = fleet.call(1, "POST", "/stream/a", "id2", "body");
    CHECK_EQUAL(200, stream.status);
}

// No node reads from another one in a small group, except when the store
// rejects it.
TEST(relay_feeds, a_node_that_the_store_refuses_in_a_small_group_gets_changes)
{
    relay_fleet fleet(3);
    fleet.store.set_refusing(fleet.store_address(1), true);
    // Ends the open watch, which the refusal leaves.
    fleet.store.put("op/config", relay_fleet::configuration(10, "/first/"));
    fleet.run_for(std::chrono::seconds(1));
    fleet.store.put("op/config", relay_fleet::configuration(20, "/second/"));
    fleet.store.put("servers/i-0", fleet.engines[0]->record("llm", "draining"));
    fleet.run_for(std::chrono::seconds(2));
    CHECK(fleet.call(1, "POST", "/second/a", "id1").status == 200);
    CHECK_FALSE(uses_replica(fleet, 1, *fleet.engines[0]));
}

TEST(relay_feeds, a_node_started_during_an_outage_applies_later_changes)
{
    relay_fleet fleet(3);
    fleet.process(1).kill();
    for (int node = 0; node < 3; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), true);
    }
    fleet.start(1);
    fleet.wait_ready(1);
    const auto before = fleet.call(1, "POST", "/plain/a", "id1");
    CHECK_EQUAL(200, before.status);
    fleet.store.put("op/config", relay_fleet::configuration(17, "/changed/"));
    for (int node = 0; node < 3; ++node)
    {
        fleet.store.set_refusing(fleet.store_address(node), false);
    }
    fleet.run_for(std::chrono::seconds(2));
    const auto added = fleet.call(1, "POST", "/changed/a", "id2");
    CHECK_EQUAL(200, added.status);
    const auto removed = fleet.call(1, "POST", "/plain/a", "id3");
    CHECK_EQUAL(404, removed.status);
}
