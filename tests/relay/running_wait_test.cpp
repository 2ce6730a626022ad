#include "relay/running_wait.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(running_wait)
{
    running_wait wait{std::chrono::milliseconds(400)};
    time_point now{std::chrono::hours(1)};

    void setup() override
    {
        this->wait.start(this->now);
    }

    bool check_after(duration span)
    {
        this->now += span;
        return this->wait.check(this->now);
    }

    /// Checks in time, up to just before the limit.
    void wait_almost_to_the_limit()
    {
        for (int check = 0; check < 3; ++check)
        {
            CHECK_FALSE(this->check_after(running_wait::check_interval));
        }
    }
};

TEST(running_wait, a_response_is_overdue_after_the_limit)
{
    this->wait_almost_to_the_limit();
    CHECK(this->check_after(running_wait::check_interval));
}

TEST(running_wait, late_checks_of_a_busy_process_count)
{
    CHECK_FALSE(this->check_after(std::chrono::milliseconds(250)));
    CHECK(this->check_after(std::chrono::milliseconds(250)));
}

// Guards against taking a response for overdue that waited unread while the
// process was stopped.
TEST(running_wait, a_freeze_does_not_count)
{
    this->wait_almost_to_the_limit();
    CHECK_FALSE(this->check_after(std::chrono::seconds(3)));
    this->wait_almost_to_the_limit();
    CHECK(this->check_after(running_wait::check_interval));
}

TEST(running_wait, a_new_wait_starts_from_zero)
{
    this->wait_almost_to_the_limit();
    this->wait.start(this->now);
    this->wait_almost_to_the_limit();
}
