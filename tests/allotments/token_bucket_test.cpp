#include "allotments/token_bucket.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(token_bucket)
{
    const time_point start{hours(5)};
};

// A bucket that starts full, or fills beyond its capacity, would let more
// through than the limit.
TEST(token_bucket, fills_at_the_rate_up_to_its_capacity)
{
    token_bucket bucket(0.0, this->start);
    bucket.fill(10.0, 5.0, this->start + milliseconds(250));
    CHECK_EQUAL(2, bucket.available());
    bucket.fill(10.0, 5.0, this->start + seconds(60));
    CHECK_EQUAL(5, bucket.available());
}

// A lowered limit has to apply to the requests that were saved before.
TEST(token_bucket, has_no_more_than_a_lowered_capacity)
{
    token_bucket bucket(50.0, this->start);
    bucket.fill(10.0, 3.0, this->start);
    CHECK_EQUAL(3, bucket.available());
}

// Rounding a rate of 0.01 down in each of many small refills would never let a
// request through.
TEST(token_bucket, a_tiny_rate_adds_up_over_many_refills)
{
    token_bucket bucket(0.0, this->start);
    for (int tick = 1; tick <= 1000; ++tick)
    {
        bucket.fill(0.01, 4.0, this->start + milliseconds(100) * tick);
    }
    CHECK_EQUAL(1, bucket.available());
}

// A clock that goes back must not remove or add tokens.
TEST(token_bucket, an_earlier_time_changes_nothing)
{
    token_bucket bucket(1.0, this->start);
    bucket.fill(10.0, 50.0, this->start - seconds(3));
    CHECK_EQUAL(1, bucket.available());
    bucket.fill(10.0, 50.0, this->start + seconds(1));
    CHECK_EQUAL(11, bucket.available());
}

// Requests that were sent without asking count against later ones.
TEST(token_bucket, a_charge_makes_a_debt_that_refills_first)
{
    token_bucket bucket(2.0, this->start);
    bucket.charge(5.0);
    CHECK_EQUAL(0, bucket.available());
    CHECK(bucket.time_until(1.0, 2.0) == seconds(2));
    bucket.limit_debt(1.0);
    CHECK(bucket.time_until(1.0, 2.0) == seconds(1));
    bucket.fill(2.0, 10.0, this->start + seconds(1));
    CHECK_EQUAL(1, bucket.available());
}

// A wait of years must not overflow the time type.
TEST(token_bucket, a_wait_is_bounded)
{
    const token_bucket bucket(0.0, this->start);
    CHECK(bucket.time_until(1.0, 1e-12) == hours(1));
}
