#include "slots/pool_selector.hpp"
#include "slots/replica_pools.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(pool_selector)
{
    random_source random{7};
    pool_selector selector;
};

TEST(pool_selector, prefers_pools_with_spare_slots)
{
    this->selector.set_pool_count(4);
    this->selector.record_spare(2, 1000);
    std::array<int, 4> chosen{};
    for (int request = 0; request < 400; ++request)
    {
        ++chosen.at(static_cast<std::size_t>(this->selector.choose(random)));
    }
    // Two draws among four pools include pool 2 with a probability of 7/16.
    CHECK(chosen[2] > 140);
    CHECK(chosen[0] > 0);
}

TEST(pool_selector, a_request_leaves_a_pool_that_no_longer_exists)
{
    this->selector.set_pool_count(4);
    CHECK_FALSE(this->selector.find_better_pool(3).has_value());
    this->selector.set_pool_count(3);
    CHECK(this->selector.find_better_pool(3).has_value());
    CHECK(*this->selector.find_better_pool(3) < 3);
}

TEST(pool_selector, a_request_moves_from_a_full_pool_to_one_with_spare)
{
    this->selector.set_pool_count(2);
    this->selector.record_spare(0, -5);
    this->selector.record_spare(1, 4);
    CHECK_EQUAL(1, this->selector.find_better_pool(0).value_or(-1));
    CHECK_FALSE(this->selector.find_better_pool(1).has_value());
}

TEST(pool_selector, a_request_stays_when_all_pools_are_full)
{
    this->selector.set_pool_count(2);
    this->selector.record_spare(0, -5);
    this->selector.record_spare(1, -1);
    CHECK_FALSE(this->selector.find_better_pool(0).has_value());
}

TEST(pool_selector, replicas_are_divided_evenly_and_few_change_pools)
{
    const int before = pool_count(4 * max_replicas_per_pool - 7);
    CHECK_EQUAL(4, before);
    std::array<int, 5> sizes{};
    int moved = 0;
    for (int number = 0; number < 1000; ++number)
    {
        const replica_id replica("replica-" + std::to_string(number));
        const int pool = pool_of(replica, before);
        ++sizes.at(static_cast<std::size_t>(pool));
        moved += pool_of(replica, before + 1) != pool ? 1 : 0;
    }
    for (int pool = 0; pool < before; ++pool)
    {
        CHECK(sizes.at(static_cast<std::size_t>(pool)) > 200);
    }
    CHECK(moved < 260);
}

// A release starts new replicas before old ones leave, so that for a moment
// there are enough for one more pool.
TEST(pool_selector, a_slot_in_use_is_known_to_the_broker_of_its_replica)
{
    for (int number = 0; number < 50; ++number)
    {
        const replica_id replica("replica-" + std::to_string(number));
        const int before = pool_of(replica, 2);
        CHECK_EQUAL(before, pool_after_change(replica, before, 2));
        CHECK_EQUAL(0, pool_after_change(replica, before, 1));
        CHECK_EQUAL(before, pool_after_change(replica, 0, 2));
    }
}

TEST(pool_selector, a_waiting_request_stays_in_its_pool)
{
    CHECK_EQUAL(1, pool_after_change(replica_id(), 1, 2));
    CHECK_EQUAL(1, pool_after_change(replica_id(), 1, 1));
}

TEST(pool_selector, a_release_of_the_largest_known_service_keeps_one_pool)
{
    constexpr std::size_t replicas = 60;
    constexpr std::size_t started_ahead = 15;
    CHECK_EQUAL(1, pool_count(replicas));
    CHECK_EQUAL(1, pool_count(replicas + started_ahead));
}
