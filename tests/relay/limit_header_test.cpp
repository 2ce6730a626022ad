#include "relay/limit_header.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(limit_header){static std::optional<routing::limit_observation> read(
    const net::http_header_list& headers){
    return read_limit(headers, "Limit", time_point());
}
}
;

TEST(limit_header, a_decimal_number_is_a_limit)
{
    CHECK(read({{"limit", "2.5"}})->limit == request_rate(2.5));
    CHECK(read({{"Limit", "12"}})->limit == request_rate(12));
    CHECK(read({{"Limit", "0"}})->limit == request_rate(0));
}

TEST(limit_header, a_response_without_the_field_names_none)
{
    CHECK(read({{"Other", "2"}})->limit == std::nullopt);
}

TEST(limit_header, other_texts_say_nothing)
{
    for (const char* text : {"", "two", "2.5x", "-1", "nan", "inf", "1e3"})
    {
        CHECK_FALSE(read({{"Limit", text}}).has_value());
    }
}

TEST(limit_header, of_several_values_the_smallest_holds)
{
    CHECK(read({{"Limit", "4"}, {"Limit", "x"}, {"Limit", "2"}})->limit ==
          request_rate(2));
}
