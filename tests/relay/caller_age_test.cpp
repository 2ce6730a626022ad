#include "relay/caller_age.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(caller_age)
{
    caller_age ages;
    time_point now = time_point() + std::chrono::hours(1);
};

TEST(caller_age, a_first_request_has_none)
{
    CHECK(this->ages.note("r", milliseconds(5000), this->now) ==
          duration::zero());
    CHECK(this->ages.note("r", milliseconds(4990), this->now) ==
          duration::zero());
}

TEST(caller_age, a_caller_with_less_time_has_asked_before)
{
    this->ages.note("r", milliseconds(5000), this->now);
    CHECK(this->ages.note("r", milliseconds(3900), this->now) ==
          milliseconds(1100));
    CHECK(this->ages.note("other", milliseconds(3900), this->now) ==
          duration::zero());
}

TEST(caller_age, one_caller_with_more_time_is_forgotten)
{
    this->ages.note("r", seconds(30), this->now);
    for (int second = 0; second < 130; ++second)
    {
        this->now += seconds(1);
        this->ages.note("r", seconds(5), this->now);
    }
    CHECK(this->ages.note("r", seconds(5), this->now) == duration::zero());
}

TEST(caller_age, a_pause_does_not_forget_at_once)
{
    this->ages.note("r", seconds(5), this->now);
    this->now += seconds(61);
    CHECK(this->ages.note("r", seconds(4), this->now) == seconds(1));
}
