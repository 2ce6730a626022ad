#include "net/http_request.hpp"
#include "net/http_syntax.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack::net;

namespace
{

const std::string zero(1, '\0');

} // namespace

TEST_GROUP(http_syntax){};

TEST(http_syntax, a_target_has_neither_blanks_nor_line_ends)
{
    for (const char* target :
         {"/", "/a?", "/a?b=c&d", "/a%20b", "/a#b", "//a", "/\xc3\xa9"})
    {
        CHECK_TEXT(is_request_target(target), target);
    }
    for (const std::string& target :
         {std::string(), std::string("a"), std::string("*"),
          std::string("http://h/a"), std::string("/a b"), std::string("/a\tb"),
          std::string("/a\rb"), std::string("/a\nb"), "/a" + zero,
          std::string("/a\x7f"), std::string(" /a")})
    {
        CHECK_FALSE_TEXT(is_request_target(target), target.c_str());
    }
}

TEST(http_syntax, field_names_are_tokens)
{
    for (const char* name : {"A", "Content-Type", "x_1", "!#$%&'*+-.^_`|~"})
    {
        CHECK_TEXT(is_field_name(name), name);
    }
    for (const std::string& name :
         {std::string(), std::string("a:"), std::string("a b"),
          std::string("a\r\n"), "a" + zero, std::string("\xc3\xa9")})
    {
        CHECK_FALSE_TEXT(is_field_name(name), name.c_str());
    }
}

TEST(http_syntax, field_values_have_no_control_characters)
{
    for (const char* value : {"", "a b", "a\tb", " a", "\xc3\xa9", "a:b,c"})
    {
        CHECK_TEXT(is_field_value(value), value);
    }
    for (const std::string& value :
         {std::string("a\rb"), std::string("a\nb"), std::string("a\r\nB: c"),
          "a" + zero, std::string("a\x7f"), std::string("a\x01")})
    {
        CHECK_FALSE_TEXT(is_field_value(value), value.c_str());
    }
}

TEST(http_syntax, finds_what_cannot_be_written)
{
    http_request request;
    request.headers = {{"Host", "h"}};
    POINTERS_EQUAL(nullptr, find_syntax_error(request));
    request.method = "PURGE";
    CHECK(find_syntax_error(request) != nullptr);
    request.method = "POST";
    request.target = "/a HTTP/1.1\r\n\r\nPOST /b";
    CHECK(find_syntax_error(request) != nullptr);
    request.target = "/a";
    request.headers.emplace_back("A", "b\r\nC: d");
    CHECK(find_syntax_error(request) != nullptr);
}
