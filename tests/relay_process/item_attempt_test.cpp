#include "relay_support/expected_output.hpp"
#include "relay_support/relay_fleet.hpp"
#include "relay_support/repeating_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr int job_items = 24;
constexpr int replica_count = 3;
/// The route's maxAttempts.
constexpr int max_failures = 2;
/// Upper limit of the time in which items end that each replica fails.
constexpr auto give_up_limit = std::chrono::seconds(3);
/// Makes runs last long at replicas that don't fail them.
constexpr duration slow_events = std::chrono::milliseconds(60);
/// Less than the first pause, and than the second, by the time that a request
/// takes to arrive.
constexpr duration first_pause = std::chrono::milliseconds(90);
constexpr duration second_pause = std::chrono::milliseconds(190);

std::size_t count_state(const nlohmann::json& results, const std::string& state)
{
    std::size_t count = 0;
    for (const auto& entry : results)
    {
        count += entry["state"].get<std::string>() == state ? 1 : 0;
    }
    return count;
}

int runs_of(const relay_fleet& fleet, const std::string& request)
{
    int runs = 0;
    for (const auto& engine : fleet.engines)
    {
        const auto found = engine->runs.find(request);
        runs += found == engine->runs.end() ? 0 : found->second;
    }
    return runs;
}

} // namespace

TEST_GROUP(relay_item_attempts){};

// Guards against giving items up for the failures of one replica, which has
// free slots soonest as it fails fast.
TEST(relay_item_attempts, a_replica_that_fails_all_costs_no_item)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = replica_count});
    replica_stand_in& failing = *fleet.engines.front();
    failing.behaviour = replica_stand_in::fault::failing;
    CHECK_EQUAL(202, fleet.submit(0, "job", job_items).status);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(job_items, count_state(results, "completed"));
    CHECK(!failing.runs.empty());
    for (const auto& [request, runs] : failing.runs)
    {
        CHECK_EQUAL(1, runs);
    }
}

// Guards against the same beside work that the replica does, so that it is not
// taken out of use for its failures.
TEST(relay_item_attempts, a_replica_that_fails_half_gets_no_item_twice)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = replica_count});
    for (const auto& engine : fleet.engines)
    {
        engine->event_interval = slow_events;
    }
    replica_stand_in& failing = *fleet.engines.front();
    failing.behaviour = replica_stand_in::fault::failing_by_turns;
    failing.event_count = 1;
    CHECK_EQUAL(202, fleet.submit(0, "job", job_items).status);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(job_items, count_state(results, "completed"));
    CHECK(failing.run_count > max_failures);
    for (const auto& [request, runs] : failing.runs)
    {
        CHECK_EQUAL(1, runs);
    }
}

// Guards against items that wait for ever for another replica, and against runs
// beyond the route's attempts.
TEST(relay_item_attempts, items_that_all_replicas_fail_are_given_up_soon)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = replica_count});
    for (const auto& engine : fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::failing;
    }
    const time_point submitted = net::event_loop::now();
    CHECK_EQUAL(202, fleet.submit(0, "job", replica_count).status);
    const auto results = fleet.results(0, "job");
    CHECK(net::event_loop::now() - submitted < give_up_limit);
    CHECK_EQUAL(replica_count, count_state(results, "dead_letter"));
    for (const auto& entry : results)
    {
        CHECK_EQUAL(max_failures,
                    runs_of(fleet, entry["id"].get<std::string>()));
    }
}

// Guards against an item that waits for another replica where there is none.
TEST(relay_item_attempts, the_only_replica_gets_an_item_again_after_a_pause)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    std::map<int, time_point> arrivals;
    repeating_replica engine(
        fleet.loop,
        [&arrivals](const std::string& request, int arrival)
        {
            arrivals[arrival] = net::event_loop::now();
            return arrival == 1
                       ? repeating_replica::reply{repeating_replica::response(
                             "500 Internal Server Error", request, "error")}
                       : repeating_replica::reply{repeating_replica::response(
                             "200 OK", request, expected_stream())};
        });
    fleet.store.put("servers/i-failing", engine.record("llm"));
    CHECK_EQUAL(202, fleet.submit(0, "job", 1).status);
    CHECK_EQUAL(1, count_state(fleet.results(0, "job"), "completed"));
    CHECK_EQUAL(2, arrivals.size());
    const duration pause = arrivals.at(2) - arrivals.at(1);
    CHECK(pause >= first_pause);
    CHECK(pause < std::chrono::seconds(2));
}

// Guards against an item that goes round in a busy loop while each replica
// answers it with an error that says nothing about the item.
TEST(relay_item_attempts, other_errors_are_repeated_with_growing_pauses)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 0});
    std::map<int, time_point> arrivals;
    repeating_replica engine(
        fleet.loop,
        [&arrivals](const std::string& request, int arrival)
        {
            arrivals[arrival] = net::event_loop::now();
            return repeating_replica::reply{repeating_replica::response(
                "504 Gateway Timeout", request, "error")};
        });
    fleet.store.put("servers/i-failing", engine.record("llm"));
    CHECK_EQUAL(202, fleet.submit(0, "job", 1).status);
    fleet.run_for(std::chrono::seconds(3));
    CHECK(arrivals.size() >= 3);
    CHECK(arrivals.at(2) - arrivals.at(1) >= first_pause);
    CHECK(arrivals.at(3) - arrivals.at(2) >= second_pause);
}

// Guards against items that go to a full replica again and again, since it has
// free slots by what its broker knows, while another one is idle.
TEST(relay_item_attempts, a_full_replica_keeps_no_item_waiting)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 2});
    fleet.engines.front()->behaviour = replica_stand_in::fault::full;
    const time_point begin = net::event_loop::now();
    CHECK_EQUAL(202, fleet.submit(0, "job", 2).status);
    const auto results = fleet.results(0, "job");
    CHECK_EQUAL(2, count_state(results, "completed"));
    CHECK(net::event_loop::now() - begin < give_up_limit);
    // Each item may be refused once.
    CHECK(fleet.engines.front()->arrivals.size() <= 2);
}
