#include "sharing/retry_delay.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace parsleytrack;
using namespace parsleytrack::sharing;

TEST_GROUP(retry_delay){};

// Load: a hundred callers that are refused together, as after an outage.
// Guards against their return at one moment.
TEST(retry_delay, callers_refused_together_return_spread_over_half_the_delay)
{
    constexpr duration delay = std::chrono::seconds(1);
    constexpr duration part = std::chrono::milliseconds(50);
    std::array<int, 10> callers{};
    for (std::int64_t number = 1000; number < 1100; ++number)
    {
        const duration spread = spread_retry(delay, number);
        CHECK(spread >= delay);
        CHECK(spread < delay + delay / 2);
        ++callers.at(static_cast<std::size_t>((spread - delay) / part));
    }
    for (const int count : callers)
    {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}
