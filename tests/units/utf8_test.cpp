#include "units/utf8.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;

TEST_GROUP(utf8){};

TEST(utf8, text_of_all_lengths_is_valid)
{
    CHECK(is_utf8(""));
    CHECK(is_utf8("job-1"));
    CHECK(is_utf8("\xc3\xa9 \xe2\x82\xac \xf0\x9f\x8c\xbf"));
    CHECK(is_utf8("\xf4\x8f\xbf\xbf"));
}

// The JSON library throws at each of these.
TEST(utf8, bytes_that_are_no_text_are_invalid)
{
    for (const char* bytes :
         {"\xff", "a\x80", "\xc3", "\xc3z", "\xe2\x82", "\xf0\x9f\x8c",
          "\xc0\x80", "\xe0\x80\x80", "\xf0\x80\x80\x80", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80"})
    {
        CHECK_FALSE(is_utf8(bytes));
    }
}
