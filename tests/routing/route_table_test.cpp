#include "routing/route_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using namespace parsleytrack::routing;

namespace
{

route make_route(const char* host, const char* prefix)
{
    route made;
    made.name = std::string(host) + prefix;
    made.host = host;
    made.prefix = prefix;
    made.services = {{service_name("s"), 1}};
    return made;
}

} // namespace

TEST_GROUP(route_table)
{
    configuration contents;

    std::string found(const char* host, const char* path)
    {
        const route_table table(this->contents);
        const route* entry = table.find(host, path);
        return entry == nullptr ? "none" : entry->name;
    }
};

TEST(route_table, the_longest_prefix_wins)
{
    this->contents.routes = {make_route("a", "/x/"), make_route("a", "/x/y/"),
                             make_route("a", "/x/y/z/")};
    STRCMP_EQUAL("a/x/y/", this->found("a", "/x/y/other").c_str());
    STRCMP_EQUAL("a/x/y/z/", this->found("a", "/x/y/z/").c_str());
    STRCMP_EQUAL("a/x/", this->found("a", "/x/yy").c_str());
}

TEST(route_table, prefixes_match_whole_path_segments)
{
    this->contents.routes = {make_route("a", "/x/")};
    STRCMP_EQUAL("none", this->found("a", "/x").c_str());
    STRCMP_EQUAL("none", this->found("a", "/xx/").c_str());
    STRCMP_EQUAL("none", this->found("a", "").c_str());
}

TEST(route_table, hosts_are_distinct_and_may_have_a_port)
{
    this->contents.routes = {make_route("a", "/"), make_route("b", "/x/")};
    STRCMP_EQUAL("a/", this->found("a:8080", "/x/1").c_str());
    STRCMP_EQUAL("none", this->found("b", "/").c_str());
    STRCMP_EQUAL("none", this->found("c", "/").c_str());
}

TEST(route_table, idempotent_and_resumable_routes_are_repeatable)
{
    route entry = make_route("a", "/");
    entry.kind = request_kind::at_most_once;
    CHECK_FALSE(entry.is_repeatable());
    entry.kind = request_kind::streaming;
    CHECK_FALSE(entry.is_repeatable());
    entry.resumable = true;
    CHECK(entry.is_repeatable());
    entry.kind = request_kind::idempotent;
    entry.resumable = false;
    CHECK(entry.is_repeatable());
}
