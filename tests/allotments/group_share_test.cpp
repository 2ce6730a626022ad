#include "allotments/group_share.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(group_share)
{
    const time_point start{hours(5)};
    group_share share{this->start};
};

// Both parts of a cut group would otherwise use the whole limit.
TEST(group_share, a_loss_takes_effect_at_once)
{
    this->share.update(2, 1, this->start + seconds(9));
    DOUBLES_EQUAL(2.0 / 3.0, this->share.current(), 1e-9);
    const auto& last = this->share.segments().back();
    CHECK(last.from == this->start + seconds(9));
    // What the lost third may have sent in the 1.5 s before.
    DOUBLES_EQUAL(0.5, last.charge_s, 1e-9);
}

// After a cut the other part uses its share until it knows of the end.
TEST(group_share, an_increase_waits_for_a_second)
{
    this->share.update(2, 2, this->start);
    this->share.update(4, 0, this->start + seconds(1));
    this->share.update(4, 0, this->start + milliseconds(1900));
    DOUBLES_EQUAL(0.5, this->share.current(), 1e-9);
    this->share.update(4, 0, this->start + milliseconds(2000));
    DOUBLES_EQUAL(1.0, this->share.current(), 1e-9);
    DOUBLES_EQUAL(0.0, this->share.segments().back().charge_s, 1e-9);
}

// A node that comes and goes must not count for the times it was away.
TEST(group_share, an_increase_is_to_the_smallest_share_while_it_waited)
{
    this->share.update(1, 3, this->start);
    this->share.update(4, 0, this->start + milliseconds(100));
    this->share.update(2, 2, this->start + milliseconds(600));
    this->share.update(4, 0, this->start + milliseconds(1100));
    DOUBLES_EQUAL(0.5, this->share.current(), 1e-9);
}

// A group whose nodes come and go for days must not use more and more memory.
TEST(group_share, keeps_a_bounded_number_of_segments)
{
    for (int round = 0; round < 2000; ++round)
    {
        this->share.update(2, 1, this->start + seconds(10 * round));
        this->share.update(3, 0, this->start + seconds(10 * round + 1));
        this->share.update(3, 0, this->start + seconds(10 * round + 3));
    }
    CHECK(this->share.segments().size() <= 512);
    DOUBLES_EQUAL(1.0, this->share.current(), 1e-9);
}
