#include "relay_support/relay_fleet.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

constexpr duration cut_interval = std::chrono::seconds(1);
/// How long a replica serves on after it was removed from the list.
constexpr duration drain_time = std::chrono::seconds(2);
constexpr int requests = 8;

} // namespace

TEST_GROUP(relay_cut_watches){};

// Guards against requests to a replica that is gone from the list, whose entry
// was kept as in an outage because the store had cut the calls that wait.
TEST(relay_cut_watches, a_removed_replica_is_left_in_time)
{
    relay_fleet fleet(relay_fleet_options{.engine_count = 2});
    const net::timer cutter = fleet.loop.call_every(
        cut_interval, [&fleet] { fleet.store.cut_watches(); });
    fleet.run_for(3 * cut_interval / 2);
    fleet.store.erase("servers/i-0");
    fleet.run_for(drain_time);
    const std::size_t before = fleet.engines[0]->arrivals.size();
    for (int number = 0; number < requests; ++number)
    {
        CHECK_EQUAL(
            200, fleet.call(0, "POST", "/once/a", "r" + std::to_string(number))
                     .status);
    }
    CHECK_EQUAL(before, fleet.engines[0]->arrivals.size());
}
