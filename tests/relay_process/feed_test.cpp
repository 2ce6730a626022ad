#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <set>
#include <string>

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
            const auto watchers = fleet.store.watchers(replica_prefix);
            sources.clear();
            for (int node = 0; node < node_count; ++node)
            {
                if (watchers.contains(fleet.store_address(node)))
                {
                    sources.insert(node);
                }
            }
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
