#include "platform/configuration_decoder.hpp"
#include "platform/workspace_decoder.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::platform;

namespace
{

routing::configuration decode(const std::string& tenants)
{
    const auto read = decode_configuration(
        R"({"version":1,"routes":[{"host":"h","prefix":"/a/","kind":"safe",
            "service":"s","public":true},{"host":"h","prefix":"/b/",
            "kind":"safe","service":"s"}],"tenants":)" +
        tenants + "}");
    CHECK(read.has_value());
    return read.value();
}

std::optional<std::string> key_of(const char* value)
{
    return decode_key({{"Host", "h"}, {"authorization", value}});
}

} // namespace

TEST_GROUP(workspace_decoder){};

TEST(workspace_decoder, reads_all_fields)
{
    const auto contents = decode(R"([{"name":"a","apiKeys":["k1","k2"],
        "ratePerS":2.5,"burst":7,"priority":1},{"name":"b","apiKeys":["k3"]}])");
    CHECK(contents.routes[0].is_public);
    CHECK_FALSE(contents.routes[1].is_public);
    const auto* first = contents.workspaces.find_by_key("k2");
    CHECK(first->name == workspace_name("a"));
    DOUBLES_EQUAL(2.5, first->limit.rate.per_second(), 1e-9);
    DOUBLES_EQUAL(7.0, first->limit.burst, 1e-9);
    CHECK_EQUAL(1, first->priority_or(4));
    const auto* second = contents.workspaces.find_by_key("k3");
    CHECK_FALSE(second->limit.is_limited());
    CHECK_EQUAL(4, second->priority_or(4));
}

TEST(workspace_decoder, a_configuration_without_workspaces_has_none)
{
    CHECK(decode("[]").workspaces.empty());
    CHECK(decode("null").workspaces.empty());
}

// Guards against entries that end a process or open the system to everybody.
TEST(workspace_decoder, odd_entries_are_reported_and_grant_nothing)
{
    for (const char* tenants :
         {"[1]", "[{}]", R"([{"name":7,"apiKeys":["k"]}])",
          R"([{"name":"","apiKeys":["k"]}])",
          R"([{"name":" a","apiKeys":["k"]}])",
          R"([{"name":"a\r\nb","apiKeys":["k"]}])",
          R"([{"name":"a","apiKeys":[1,{},null]}])",
          R"([{"name":"a","apiKeys":"k"}])", R"([{"name":"a"}])"})
    {
        const auto contents = decode(tenants);
        CHECK_FALSE(contents.workspaces.empty());
        CHECK_FALSE(contents.workspaces.problems().empty());
        CHECK(contents.workspaces.find_by_key("k") == nullptr);
    }
}

// Guards against a mistake of the operators that lets everybody in.
TEST(workspace_decoder, workspaces_that_are_no_list_let_nobody_in)
{
    for (const char* tenants : {"{}", "7", R"("a")", "true"})
    {
        CHECK_FALSE(decode(tenants).workspaces.empty());
        CHECK_EQUAL(1, decode(tenants).workspaces.problems().size());
    }
}

TEST(workspace_decoder, odd_limits_are_reported)
{
    const auto contents = decode(R"([{"name":"a","apiKeys":["k"],
        "ratePerS":-1,"burst":-5},{"name":"b","apiKeys":["l"],
        "ratePerS":1e300,"burst":"x"}])");
    CHECK_EQUAL(3, contents.workspaces.problems().size());
    CHECK_FALSE(contents.workspaces.find_by_key("k")->limit.is_limited());
    CHECK(contents.workspaces.find_by_key("l")->limit.rate <=
          request_rate(1e9));
}

TEST(workspace_decoder, reads_keys_of_requests)
{
    CHECK(key_of("Token abc") == "abc");
    CHECK(key_of("token abc") == "abc");
    CHECK(key_of("  TOKEN \t abc  ") == "abc");
    CHECK_FALSE(key_of("abc"));
    CHECK_FALSE(key_of("Tokenabc"));
    CHECK_FALSE(key_of("Bearer abc"));
    CHECK_FALSE(key_of(""));
    CHECK_FALSE(decode_key({}));
}

// Guards against a request that counts for one workspace here and for another
// one elsewhere.
TEST(workspace_decoder, several_keys_are_none)
{
    CHECK_FALSE(decode_key(
        {{"Authorization", "Token a"}, {"AUTHORIZATION", "Token b"}}));
}
