#include "daemon/line_findings.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;

TEST_GROUP(line_findings)
{
    line_findings findings;
};

TEST(line_findings, reports_all_with_the_kind_of_the_first)
{
    CHECK(this->findings.empty());
    this->findings.add(2, error_code::too_large, "too large");
    this->findings.add(7, error_code::bad_request, "no body");
    CHECK(!this->findings.empty());
    const error reason = this->findings.to_error();
    CHECK(reason.code == error_code::too_large);
    CHECK(reason.ran == ran_state::no);
    STRCMP_EQUAL("line 2: too large; line 7: no body", reason.message.c_str());
}

TEST(line_findings, is_full_after_ten)
{
    for (int number = 1; number <= 9; ++number)
    {
        this->findings.add(number, error_code::bad_request, "bad");
        CHECK(!this->findings.is_full());
    }
    this->findings.add(10, error_code::bad_request, "bad");
    CHECK(this->findings.is_full());
}

TEST(line_findings, can_be_declared_full)
{
    this->findings.add(1, error_code::too_large, "too many items");
    this->findings.set_full();
    CHECK(this->findings.is_full());
    STRCMP_EQUAL("line 1: too many items",
                 this->findings.to_error().message.c_str());
}
