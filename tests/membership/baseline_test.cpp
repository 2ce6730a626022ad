#include "membership/heartbeat_baseline.hpp"
#include "membership/membership_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using std::chrono::seconds;

TEST_GROUP(membership_baseline){};

TEST(membership_baseline, needs_fewer_bytes_and_errs_less_than_heartbeats)
{
    constexpr int count = 50;
    constexpr double loss = 0.1;
    constexpr seconds before(300);
    membership_world world(11, membership_options());
    for (int node = 0; node < count; ++node)
    {
        world.start(node);
    }
    world.run_for(seconds(20));
    world.totals = {};
    world.false_deaths = 0;
    world.loss = loss;
    world.run_for(before);
    const double bytes = static_cast<double>(world.totals.datagram_bytes +
                                             world.totals.exchange_bytes) /
                         count / static_cast<double>(before.count());
    LONGS_EQUAL(0, world.false_deaths);

    // With this timeout the baseline detects failures as fast as the
    // membership suspects them.
    const auto quick =
        heartbeat_baseline::run(11, count, loss, seconds(2), before);
    CHECK(quick.false_deaths > 0);
    CHECK(bytes * 2 < quick.bytes_per_node_and_second);
}
