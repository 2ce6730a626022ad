#include "routing/replica_limits.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::routing;

TEST_GROUP(replica_limits)
{
    replica_limits limits;
    const replica_process_id process{"i-1/1"};

    static limit_observation named(double rate, int second)
    {
        return limit_observation{request_rate(rate),
                                 time_point(std::chrono::seconds(second))};
    }
    static limit_observation none(int second)
    {
        return limit_observation{std::nullopt,
                                 time_point(std::chrono::seconds(second))};
    }
};

TEST(replica_limits, a_limit_holds_until_a_response_names_none)
{
    CHECK_FALSE(this->limits.observe(this->process, none(1)));
    CHECK(this->limits.find(this->process) == nullptr);
    CHECK(this->limits.observe(this->process, named(2.5, 2)));
    CHECK_FALSE(this->limits.observe(this->process, named(2.5, 3)));
    CHECK(this->limits.limit_of(this->process) == request_rate(2.5));
    CHECK(this->limits.observe(this->process, none(4)));
    CHECK(this->limits.limit_of(this->process) == std::nullopt);
}

// Guards against an end of the limit that is undone by a message that was under
// way before it.
TEST(replica_limits, the_latest_observation_holds)
{
    this->limits.observe(this->process, named(2.0, 5));
    this->limits.observe(this->process, none(7));
    CHECK_FALSE(this->limits.observe(this->process, named(2.0, 6)));
    CHECK(this->limits.limit_of(this->process) == std::nullopt);
}

TEST(replica_limits, another_process_has_named_none)
{
    this->limits.observe(this->process, named(2.0, 5));
    CHECK(this->limits.limit_of(replica_process_id("i-1/2")) == std::nullopt);
}

TEST(replica_limits, the_number_of_processes_is_bounded)
{
    const int count = static_cast<int>(replica_limits::max_processes) + 1;
    for (int number = 0; number < count; ++number)
    {
        this->limits.observe(replica_process_id(std::to_string(number)),
                             named(1.0, number));
    }
    CHECK(this->limits.find(replica_process_id("0")) == nullptr);
    CHECK(this->limits.find(replica_process_id("1")) != nullptr);
}
