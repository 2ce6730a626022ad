#include "feeds/feed_sources.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::feeds;

namespace
{

std::vector<node_info> nodes(int count, int zones)
{
    std::vector<node_info> made;
    for (int number = 0; number < count; ++number)
    {
        node_info node;
        node.id = node_id("n" + std::to_string(number));
        node.availability_zone =
            availability_zone_name("z" + std::to_string(number % zones));
        made.push_back(node);
    }
    return made;
}

constexpr std::size_t max_direct_followers = 16;

} // namespace

TEST_GROUP(feed_sources){};

TEST(feed_sources, small_groups_have_no_sources)
{
    CHECK(feed_sources(nodes(16, 3), "t", max_direct_followers).empty());
    CHECK_FALSE(feed_sources(nodes(17, 3), "t", max_direct_followers).empty());
}

TEST(feed_sources, the_number_of_sources_is_independent_of_group_size)
{
    CHECK_EQUAL(4,
                feed_sources(nodes(70, 4), "t", max_direct_followers).size());
    CHECK_EQUAL(4,
                feed_sources(nodes(390, 4), "t", max_direct_followers).size());
    CHECK_EQUAL(2,
                feed_sources(nodes(390, 1), "t", max_direct_followers).size());
}

TEST(feed_sources, a_joining_node_replaces_at_most_one_source)
{
    const auto before = feed_sources(nodes(70, 4), "t", max_direct_followers);
    const auto after = feed_sources(nodes(71, 4), "t", max_direct_followers);
    const auto kept =
        std::count_if(after.begin(), after.end(),
                      [&before](const node_info& node) {
                          return std::find(before.begin(), before.end(),
                                           node) != before.end();
                      });
    CHECK(kept >= 3);
}

TEST(feed_sources, a_node_follows_two_sources_and_prefers_its_zone)
{
    const auto sources = feed_sources(nodes(70, 4), "t", max_direct_followers);
    const auto chosen = followed_sources(sources, availability_zone_name("z2"));
    CHECK_EQUAL(2, chosen.size());
    STRCMP_EQUAL("z2", chosen[0].availability_zone.str().c_str());
}
