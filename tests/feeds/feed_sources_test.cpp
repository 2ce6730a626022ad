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

TEST(feed_sources, two_sources_in_each_zone_keep_records_within_the_zone)
{
    const auto sources =
        feed_sources(nodes(195, 5), "t", max_direct_followers, 2);
    CHECK_EQUAL(10, sources.size());
    for (int zone = 0; zone < 5; ++zone)
    {
        const availability_zone_name name("z" + std::to_string(zone));
        for (const node_info& node : followed_sources(sources, name))
        {
            CHECK(node.availability_zone == name);
        }
    }
}

// A large configuration is sent to some thirty nodes at once, over the link of
// the source.
TEST(feed_sources, nodes_with_much_capacity_are_preferred_in_each_zone)
{
    auto group = nodes(195, 5);
    for (std::size_t index = 0; index < group.size(); ++index)
    {
        const bool only_small = group[index].availability_zone.str() == "z4";
        group[index].capacity = index < 15 && !only_small ? 500 : 120;
    }
    const auto sources = feed_sources(group, "t", max_direct_followers, 2);
    CHECK_EQUAL(10, sources.size());
    for (const node_info& node : sources)
    {
        CHECK(node.capacity == 500 || node.availability_zone.str() == "z4");
    }
}
