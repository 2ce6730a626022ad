#include "relay/stop_schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(stop_schedule)
{
    const time_point begin{seconds(100)};
};

TEST(stop_schedule, accepts_requests_while_callers_may_use_the_address)
{
    const stop_schedule schedule(begin, seconds(1), seconds(8));
    CHECK(schedule.accepts_requests(begin + milliseconds(2999)));
    CHECK_FALSE(schedule.accepts_requests(begin + seconds(3)));
    CHECK_FALSE(schedule.is_over(begin + seconds(2), 0));
    CHECK(schedule.is_over(begin + seconds(3), 0));
    CHECK_FALSE(schedule.is_over(begin + seconds(3), 1));
}

// A node that accepted requests until the end of its stop cut them off when it
// exited.
TEST(stop_schedule, leaves_time_for_the_last_requests)
{
    const stop_schedule schedule(begin, seconds(5), seconds(8));
    time_point last = begin;
    while (schedule.accepts_requests(last + milliseconds(10)))
    {
        last += milliseconds(10);
    }
    CHECK_FALSE(schedule.is_over(last + milliseconds(2400), 1));
    CHECK(schedule.is_over(begin + milliseconds(7600), 1));
}

TEST(stop_schedule, meets_a_short_limit)
{
    const stop_schedule schedule(begin, seconds(2), seconds(1));
    CHECK_FALSE(schedule.accepts_requests(begin));
    CHECK(schedule.is_over(begin + milliseconds(600), 5));
}
