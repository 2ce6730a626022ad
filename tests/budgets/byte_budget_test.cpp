#include "budgets/byte_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::budgets;

TEST_GROUP(byte_budget){};

// Guards against submissions that wait for a slow store and fill the memory.
TEST(byte_budget, grants_claims_up_to_the_sum)
{
    byte_budget limit(byte_count(10));
    auto first = limit.take(6);
    CHECK(first != nullptr);
    auto second = limit.take(4);
    CHECK(second != nullptr);
    CHECK(limit.take(1) == nullptr);
    first.reset();
    CHECK(limit.take(6) != nullptr);
}

TEST(byte_budget, grants_a_single_large_claim)
{
    byte_budget limit(byte_count(10));
    auto large = limit.take(100);
    CHECK(large != nullptr);
    CHECK(limit.take(1) == nullptr);
    large.reset();
    CHECK(limit.take(1) != nullptr);
}
