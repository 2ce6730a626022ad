#include "slots/burst_world.hpp"
#include "slots/replica_pools.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace parsleytrack;
using namespace parsleytrack::slots;

namespace
{

constexpr std::uint64_t seed_count = 3;
constexpr duration played_time = std::chrono::seconds(60);

burst_world::outcome play(burst_world::options options)
{
    burst_world::outcome sum;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        options.seed = seed;
        const auto outcome = burst_world(options).run(played_time);
        sum.requests += outcome.requests;
        sum.in_time += outcome.in_time;
        sum.refused += outcome.refused;
        sum.reclaimed += outcome.reclaimed;
        sum.used += outcome.used / seed_count;
        sum.items_due += outcome.items_due;
        sum.items_in_time += outcome.items_in_time;
        sum.most_at_limited =
            std::max(sum.most_at_limited, outcome.most_at_limited);
    }
    return sum;
}

} // namespace

/// Online load comes in steps: quiet times, in which batch work takes the
/// slots, and bursts that need nearly all of them at once.
TEST_GROUP(slot_burst){};

TEST(slot_burst, a_burst_that_fits_gets_its_slots_in_time)
{
    const auto outcome = play({});
    // The target of the deployments: 95 of 100 in time.
    CHECK(outcome.share_in_time() >= 0.95);
    LONGS_EQUAL(0, outcome.refused);
}

TEST(slot_burst, batch_work_fills_the_quiet_times)
{
    burst_world::options options;
    options.item_rate = 60;
    const auto outcome = play(options);
    // All but the reserve for online requests and the slots on their way back.
    CHECK(outcome.used > 0.90);
}

// Brokers of small pools reclaim slots while other pools have free ones.
TEST(slot_burst, fewer_pools_take_fewer_slots_back_from_batch_work)
{
    burst_world::options options;
    options.pools = pool_count(static_cast<std::size_t>(options.replicas));
    const auto chosen = play(options);
    options.pools = 4;
    const auto four_pools = play(options);
    CHECK(chosen.reclaimed * 5 < four_pools.reclaimed * 4);
    CHECK(chosen.share_in_time() >= 0.95);
}

TEST(slot_burst, pools_of_uneven_size_refuse_few_requests_near_the_limit)
{
    burst_world::options options;
    options.mean_hold = std::chrono::milliseconds(700);
    options.replicas = 2 * 59;
    options.burst_rate *= 2;
    options.quiet_rate *= 2;
    options.item_rate *= 2;
    options.pools = pool_count(static_cast<std::size_t>(options.replicas));
    CHECK(play(options).share_in_time() >= 0.95);
}

TEST(slot_burst, batch_work_that_fits_is_done_in_time)
{
    burst_world::options options;
    options.item_rate = 32;
    CHECK(play(options).share_of_items_in_time() >= 0.95);
}

// Pattern: two of three replicas name a limit while bursts and batch work go
// on, and the broker's process starts again every few seconds.
TEST(slot_burst, limited_replicas_get_what_they_take_and_others_the_rest)
{
    burst_world::options options;
    options.replicas = 12;
    options.slots = 8;
    options.nodes = 6;
    options.quiet_rate = 21;
    options.burst_rate = 60;
    options.item_rate = 1;
    options.limited_replicas = 8;
    options.limit = 2.2;
    for (const int lifetime_s : {0, 3})
    {
        options.broker_lifetime = std::chrono::seconds(lifetime_s);
        const auto outcome = play(options);
        // The platform's bound: one and a half times the limit in four seconds,
        // and five requests.
        CHECK_COMPARE(outcome.most_at_limited, <=, 1.5 * 4 * 2.2 + 5);
        CHECK(outcome.most_at_limited > 0);
        // The unlimited replicas alone could serve 49 requests per second.
        CHECK(outcome.share_in_time() >= 0.8);
    }
}
