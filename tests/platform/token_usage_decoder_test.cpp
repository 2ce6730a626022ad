#include "platform/token_usage_decoder.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

std::optional<token_count> decode(const char* value)
{
    return decode_output_tokens({{"parsleytrack-token-usage", value}});
}

} // namespace

TEST_GROUP(token_usage_decoder){};

TEST(token_usage_decoder, reads_the_second_number)
{
    CHECK_EQUAL(80, decode("1460,80")->count());
    CHECK_EQUAL(80, decode("1460, 80")->count());
    CHECK_EQUAL(0, decode("1460,0")->count());
}

TEST(token_usage_decoder, other_values_name_no_limit)
{
    CHECK_FALSE(decode_output_tokens({}).has_value());
    for (const char* value : {"", ",", "1460", "1460,", "1460,x", "1460,-1",
                              "1460,99999999999999999999"})
    {
        CHECK_FALSE(decode(value).has_value());
    }
}
