#include "relay/caller_wait_estimator.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(caller_wait_estimator)
{
    caller_wait_estimator estimator;
    time_point now = time_point() + std::chrono::hours(1);
};

TEST(caller_wait_estimator, a_first_attempt_has_not_waited)
{
    CHECK(this->estimator.estimate("r", milliseconds(5000), this->now) ==
          duration::zero());
    CHECK(this->estimator.estimate("r", milliseconds(4990), this->now) ==
          duration::zero());
}

TEST(caller_wait_estimator, less_remaining_time_means_an_earlier_attempt)
{
    this->estimator.estimate("r", milliseconds(5000), this->now);
    CHECK(this->estimator.estimate("r", milliseconds(3900), this->now) ==
          milliseconds(1100));
    CHECK(this->estimator.estimate("other", milliseconds(3900), this->now) ==
          duration::zero());
}

TEST(caller_wait_estimator, an_unusually_long_time_expires)
{
    this->estimator.estimate("r", seconds(30), this->now);
    for (int second = 0; second < 130; ++second)
    {
        this->now += seconds(1);
        this->estimator.estimate("r", seconds(5), this->now);
    }
    CHECK(this->estimator.estimate("r", seconds(5), this->now) ==
          duration::zero());
}

TEST(caller_wait_estimator, a_pause_of_one_period_keeps_the_longest_time)
{
    this->estimator.estimate("r", seconds(5), this->now);
    this->now += seconds(61);
    CHECK(this->estimator.estimate("r", seconds(4), this->now) == seconds(1));
}
