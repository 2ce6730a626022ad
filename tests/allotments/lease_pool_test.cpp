#include "allotments/lease_pool.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(lease_pool)
{
    time_point now{hours(5)};
    const bucket_term term{1};
    lease_pool pool;
};

// A lease that is used later shifts requests between windows.
TEST(lease_pool, an_expired_lease_is_not_used_but_returned)
{
    this->pool.add(this->term, 3, this->now + milliseconds(300));
    CHECK(this->pool.take(this->now).has_value());
    this->now += milliseconds(300);
    CHECK_FALSE(this->pool.take(this->now).has_value());
    CHECK_EQUAL(2, this->pool.expired(this->now));
    CHECK_EQUAL(2, this->pool.take_expired(this->now));
    CHECK_EQUAL(0, this->pool.take_expired(this->now));
}

// An owner must not get back what another bucket has granted.
TEST(lease_pool, leases_of_an_earlier_bucket_are_not_returned)
{
    this->pool.add(this->term, 3, this->now);
    this->pool.add(bucket_term(2), 1, this->now);
    CHECK_EQUAL(1, this->pool.take_expired(this->now));
}

// A request that is cancelled before it is sent would otherwise be lost.
TEST(lease_pool, a_request_that_was_not_sent_is_used_again_or_returned)
{
    this->pool.add(this->term, 1, this->now + milliseconds(300));
    const auto taken = this->pool.take(this->now);
    this->pool.put_back(*taken);
    CHECK(this->pool.take(this->now).has_value());
    this->now += milliseconds(300);
    this->pool.take_expired(this->now);
    this->pool.put_back(*taken);
    CHECK_EQUAL(1, this->pool.take_expired(this->now));
}

// Demand changes fivefold within seconds; an old average would lease too much
// after a surge.
TEST(lease_pool, demand_follows_the_recent_requests)
{
    for (int count = 0; count < 300; ++count)
    {
        this->now += milliseconds(10);
        this->pool.record_demand(this->now);
    }
    DOUBLES_EQUAL(30.0, this->pool.expected(milliseconds(300), this->now), 2.0);
    this->now += seconds(2);
    CHECK(this->pool.expected(milliseconds(300), this->now) < 1.0);
}
