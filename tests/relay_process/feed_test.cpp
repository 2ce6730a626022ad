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
/// So that two of the nodes follow the store and three follow these.
constexpr int max_direct_followers = 2;
constexpr std::size_t sources = 2;
const std::string replicas = "servers/";

/// Changes the list of replicas, at which calls of nodes that no longer follow
/// the store end.
void touch(relay_fleet& fleet, int number)
{
    fleet.store.put("servers/i-broken", std::to_string(number));
}

/// Waits until only the sources follow the store.
///
/// \returns The sources.
std::set<int> settle(relay_fleet& fleet)
{
    int number = 0;
    std::set<int> found;
    CHECK(fleet.wait(
        [&]
        {
            touch(fleet, ++number);
            fleet.run_for(std::chrono::milliseconds(700));
            const auto watchers = fleet.store.watchers(replicas);
            found.clear();
            for (int node = 0; node < node_count; ++node)
            {
                if (watchers.contains(fleet.store_address(node)))
                {
                    found.insert(node);
                }
            }
            return found.size() == sources;
        }));
    return found;
}

/// \returns Whether a node sends requests to a replica.
bool uses(relay_fleet& fleet, int node, const replica_stand_in& replica)
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

TEST(relay_feeds, few_nodes_follow_the_store_and_all_learn_of_changes)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    settle(fleet);
    // A leaving replica gets nothing new two seconds after its word.
    fleet.store.put("servers/i-0", fleet.engines[0]->entry("llm", "draining"));
    fleet.run_for(std::chrono::seconds(2));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_FALSE(uses(fleet, node, *fleet.engines[0]));
    }
    CHECK_EQUAL(sources, fleet.store.watchers(replicas).size());
}

TEST(relay_feeds, nodes_that_the_store_turns_away_learn_of_changes)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    const std::set<int> found = settle(fleet);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.turn_away(fleet.store_address(node), !found.contains(node));
    }
    fleet.store.erase("servers/i-1");
    fleet.run_for(std::chrono::seconds(2));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK_FALSE(uses(fleet, node, *fleet.engines[1]));
    }
}

TEST(relay_feeds, sources_that_fall_silent_are_replaced)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    const std::set<int> found = settle(fleet);
    for (const int node : found)
    {
        fleet.process(node).signal(SIGSTOP);
    }
    fleet.store.put("servers/i-0", fleet.engines[0]->entry("llm", "draining"));
    // The silence that is allowed, and the time for changes.
    fleet.run_for(std::chrono::milliseconds(3000));
    for (int node = 0; node < node_count; ++node)
    {
        CHECK(found.contains(node) || !uses(fleet, node, *fleet.engines[0]));
    }
    for (const int node : found)
    {
        fleet.process(node).signal(SIGCONT);
    }
}

TEST(relay_feeds, an_outage_is_asked_about_sparingly)
{
    relay_fleet fleet(
        relay_fleet_options{.node_count = node_count,
                            .max_direct_followers = max_direct_followers});
    settle(fleet);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.turn_away(fleet.store_address(node), true);
    }
    touch(fleet, 1000);
    fleet.run_for(std::chrono::seconds(2));
    const int before = fleet.store.refused_calls();
    constexpr int seconds = 5;
    fleet.run_for(std::chrono::seconds(seconds));
    // A node has two lists to follow, each of which it may ask for once a
    // second, and looks for jobs without an owner every two seconds.
    constexpr double most_per_second = 2.5;
    CHECK(fleet.store.refused_calls() - before <=
          node_count * seconds * most_per_second);
    for (int node = 0; node < node_count; ++node)
    {
        fleet.store.turn_away(fleet.store_address(node), false);
    }
    fleet.store.erase("servers/i-2");
    CHECK(fleet.wait(
        [&fleet]
        {
            for (int node = 0; node < node_count; ++node)
            {
                if (uses(fleet, node, *fleet.engines[2]))
                {
                    return false;
                }
            }
            return true;
        }));
}
