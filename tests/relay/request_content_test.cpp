#include "relay/request_content.hpp"
#include "routing/content_trait.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(request_content){
    static net::http_request_head head(const char* method, const char* host,
                                       const char* path, const char* query){
        net::http_request_head made;
made.method = method;
made.path = path;
made.raw_query = query;
made.headers = {{"Host", host}};
return made;
}
}
;

TEST(request_content, is_the_same_for_each_attempt)
{
    net::http_request_head first = head("POST", "h", "/a", "x=1");
    first.headers.emplace_back("Parsleytrack-Request-Id", "1");
    net::http_request_head second = head("POST", "h", "/a", "x=1");
    second.headers.emplace_back("Parsleytrack-Request-Id", "2");
    CHECK(content_trait(first, "body") == content_trait(second, "body"));
}

TEST(request_content, differs_with_each_part_of_the_request)
{
    const std::set<request_trait> traits{
        content_trait(head("POST", "h", "/a", "x=1"), "body"),
        content_trait(head("PUT", "h", "/a", "x=1"), "body"),
        content_trait(head("POST", "g", "/a", "x=1"), "body"),
        content_trait(head("POST", "h", "/b", "x=1"), "body"),
        content_trait(head("POST", "h", "/a", "x=2"), "body"),
        content_trait(head("POST", "h", "/a", ""), "body"),
        content_trait(head("POST", "h", "/a", "x=1"), "")};
    LONGS_EQUAL(7, traits.size());
}

TEST(request_content, is_told_apart_from_parts_of_prompts)
{
    CHECK(routing::is_content(content_trait(head("GET", "h", "/a", ""), "")));
    CHECK_FALSE(routing::is_content(request_trait("5c1e07a2")));
}
