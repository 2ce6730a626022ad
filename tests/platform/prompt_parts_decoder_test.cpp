#include "platform/prompt_parts_decoder.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

/// \returns The decoded parts, joined by commas.
std::string decode(const net::http_header_list& headers)
{
    std::string joined;
    for (const request_trait& part : decode_prompt_parts(headers))
    {
        joined += (joined.empty() ? "" : ",") + part.str();
    }
    return joined;
}

} // namespace

TEST_GROUP(prompt_parts_decoder){};

TEST(prompt_parts_decoder, leaves_out_the_last_part)
{
    STRCMP_EQUAL("5c1e07a2,91bd3f06",
                 decode({{"Parsleytrack-Prompt-Prefix",
                          "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}})
                     .c_str());
}

TEST(prompt_parts_decoder, ignores_letter_case_and_blanks)
{
    STRCMP_EQUAL("5c1e,91bd", decode({{"parsleytrack-prompt-prefix",
                                       " 5C1E:800 ,\t91BD:410, e440:250"}})
                                  .c_str());
}

TEST(prompt_parts_decoder, reads_repeated_fields_as_one_list)
{
    STRCMP_EQUAL("a,b", decode({{"Parsleytrack-Prompt-Prefix", "a:1"},
                                {"Parsleytrack-Prompt-Prefix", "b:1,c:2"}})
                            .c_str());
}

TEST(prompt_parts_decoder, bounds_what_a_strange_request_makes_nodes_remember)
{
    std::string many;
    for (int count = 0; count < 5000; ++count)
    {
        many += std::to_string(count) + ":1,";
    }
    const auto parts =
        decode_prompt_parts({{"Parsleytrack-Prompt-Prefix", many}});
    CHECK(parts.size() <= 64);
    const auto long_ids = decode_prompt_parts(
        {{"Parsleytrack-Prompt-Prefix", std::string(10'000, 'a') + ",b"}});
    LONGS_EQUAL(1, long_ids.size());
    CHECK(long_ids[0].str().size() <= 64);
}

TEST(prompt_parts_decoder, accepts_any_text)
{
    STRCMP_EQUAL("", decode({}).c_str());
    STRCMP_EQUAL("", decode({{"Parsleytrack-Prompt-Prefix", ""}}).c_str());
    STRCMP_EQUAL("", decode({{"Parsleytrack-Prompt-Prefix", ",,:5,"}}).c_str());
    STRCMP_EQUAL("a", decode({{"Parsleytrack-Prompt-Prefix", "a,b"}}).c_str());
}
