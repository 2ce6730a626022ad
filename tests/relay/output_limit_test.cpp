#include "relay/output_limit.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <limits>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(output_limit){};

TEST(output_limit, allows_an_event_for_each_token)
{
    const output_limit limit(token_count(231));
    CHECK_FALSE(limit.is_exceeded_by(231, 1000));
    CHECK_FALSE(limit.is_exceeded_by(231 + output_limit::extra_events, 1000));
    CHECK(limit.is_exceeded_by(232 + output_limit::extra_events, 1000));
}

TEST(output_limit, bounds_the_bytes_of_any_output)
{
    for (const output_limit& limit :
         {output_limit(std::nullopt), output_limit(token_count(231))})
    {
        CHECK_FALSE(limit.is_exceeded_by(1, output_limit::max_bytes));
        CHECK(limit.is_exceeded_by(1, output_limit::max_bytes + 1));
    }
}

TEST(output_limit, does_not_overflow)
{
    const std::int64_t most = std::numeric_limits<std::int64_t>::max();
    CHECK_FALSE(output_limit(token_count(most)).is_exceeded_by(most, 1));
    CHECK_FALSE(output_limit(std::nullopt).is_exceeded_by(most, 1));
}
