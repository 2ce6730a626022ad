#include "slots/limit_share.hpp"
#include "slots/request_pacer.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::slots;

TEST_GROUP(request_pacer)
{
    time_point now{std::chrono::seconds(100)};

    /// \returns How many requests a pacer allows in a time.
    int take_all(request_pacer & pacer, duration span)
    {
        constexpr duration step = std::chrono::milliseconds(20);
        int taken = 0;
        for (const time_point end = this->now + span; this->now < end;
             this->now += step)
        {
            while (pacer.available(this->now) > 0)
            {
                pacer.take(this->now);
                ++taken;
            }
        }
        return taken;
    }
};

TEST(request_pacer, allows_the_rate_and_no_more)
{
    for (const double rate : {0.2, 1.7, 12.0, 250.0})
    {
        request_pacer pacer(request_rate(rate), this->now);
        // What a step allows is left over at the end.
        DOUBLES_EQUAL(rate * 20,
                      this->take_all(pacer, std::chrono::seconds(20)),
                      1.0 + rate * 0.02);
    }
}

// Guards against a new broker that sends at once what the former one has sent
// already, and against a burst after a pause.
TEST(request_pacer, saves_up_little)
{
    request_pacer pacer(request_rate(10), this->now);
    CHECK_EQUAL(0, pacer.available(this->now));
    this->now += std::chrono::minutes(1);
    CHECK_EQUAL(2, pacer.available(this->now));
}

TEST(request_pacer, a_new_rate_holds_at_once)
{
    request_pacer pacer(request_rate(10), this->now);
    pacer.set_rate(request_rate(1), this->now);
    DOUBLES_EQUAL(10, this->take_all(pacer, std::chrono::seconds(10)), 1.0);
}

TEST_GROUP(limit_share){};

TEST(limit_share, only_the_broker_may_send)
{
    const request_rate named(3);
    CHECK(limit_share(named, {true, 6, 0}) == named);
    CHECK(limit_share(named, {false, 6, 0}) == request_rate(0));
}

TEST(limit_share, lost_nodes_keep_their_part)
{
    CHECK(limit_share(request_rate(6), {true, 4, 2}) == request_rate(4));
    CHECK(limit_share(request_rate(6), {true, 2, 4}) == request_rate(2));
}

// Guards against never learning that a replica takes requests again.
TEST(limit_share, a_replica_that_takes_nothing_is_asked_now_and_then)
{
    const double rate = limit_share(request_rate(0), {true, 6, 0}).per_second();
    CHECK(rate > 0.0);
    // The platform allows five requests in four seconds.
    CHECK(rate * 4 < 5.0);
}
