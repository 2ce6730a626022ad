#include "relay/submission_limit.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(submission_limit){};

// Guards against submissions that wait for a slow store and fill the memory.
TEST(submission_limit, allows_submissions_up_to_the_sum)
{
    submission_limit limit(byte_count(10));
    auto first = limit.claim(6);
    CHECK(first != nullptr);
    auto second = limit.claim(4);
    CHECK(second != nullptr);
    CHECK(limit.claim(1) == nullptr);
    first.reset();
    CHECK(limit.claim(6) != nullptr);
}

TEST(submission_limit, allows_a_single_large_submission)
{
    submission_limit limit(byte_count(10));
    auto large = limit.claim(100);
    CHECK(large != nullptr);
    CHECK(limit.claim(1) == nullptr);
    large.reset();
    CHECK(limit.claim(1) != nullptr);
}
