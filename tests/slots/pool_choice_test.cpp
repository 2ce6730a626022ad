#include "slots/pool_choice.hpp"
#include "slots/replica_pools.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(pool_choice)
{
    random_source random{7};
    pool_choice choice;
};

TEST(pool_choice, prefers_pools_with_room)
{
    this->choice.set_count(4);
    this->choice.note(2, 1000);
    std::array<int, 4> chosen{};
    for (int order = 0; order < 400; ++order)
    {
        ++chosen.at(static_cast<std::size_t>(this->choice.choose(random)));
    }
    // One draw in two hits it with either of two tries among four: 7/16.
    CHECK(chosen[2] > 140);
    CHECK(chosen[0] > 0);
}

TEST(pool_choice, an_order_leaves_a_pool_that_is_no_more)
{
    this->choice.set_count(4);
    CHECK_FALSE(this->choice.better_than(3).has_value());
    this->choice.set_count(3);
    CHECK(this->choice.better_than(3).has_value());
    CHECK(*this->choice.better_than(3) < 3);
}

TEST(pool_choice, an_order_moves_from_a_full_pool_to_one_with_room)
{
    this->choice.set_count(2);
    this->choice.note(0, -5);
    this->choice.note(1, 4);
    CHECK_EQUAL(1, this->choice.better_than(0).value_or(-1));
    CHECK_FALSE(this->choice.better_than(1).has_value());
}

TEST(pool_choice, an_order_stays_when_all_pools_are_full)
{
    this->choice.set_count(2);
    this->choice.note(0, -5);
    this->choice.note(1, -1);
    CHECK_FALSE(this->choice.better_than(0).has_value());
}

TEST(pool_choice, replicas_are_divided_evenly_and_stay_where_they_are)
{
    const int before = pool_count(57);
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
