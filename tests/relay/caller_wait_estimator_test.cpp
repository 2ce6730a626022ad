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

TEST(caller_wait_estimator, a_first_request_has_none)
{
    CHECK(this->estimator.estimate("r", milliseconds(5000), this->now) ==
          duration::zero());
    CHECK(this->estimator.estimate("r", milliseconds(4990), this->now) ==
          duration::zero());
}

TEST(caller_wait_estimator, a_caller_with_less_time_has_asked_before)
{
    this->estimator.estimate("r", milliseconds(5000), this->now);
    CHECK(this->estimator.estimate("r", milliseconds(3900), this->now) ==
          milliseconds(1100));
    CHECK(this->estimator.estimate("other", milliseconds(3900), this->now) ==
          duration::zero());
}

TEST(caller_wait_estimator, one_caller_with_more_time_is_forgotten)
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

TEST(caller_wait_estimator, a_pause_does_not_forget_at_once)
{
    this->estimator.estimate("r", seconds(5), this->now);
    this->now += seconds(61);
    CHECK(this->estimator.estimate("r", seconds(4), this->now) == seconds(1));
}
