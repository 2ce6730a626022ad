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

constexpr std::size_t most_alone = 16;

} // namespace

TEST_GROUP(feed_sources){};

TEST(feed_sources, small_groups_have_none)
{
    CHECK(feed_sources(nodes(16, 3), "t", most_alone).empty());
    CHECK_FALSE(feed_sources(nodes(17, 3), "t", most_alone).empty());
}

TEST(feed_sources, their_number_does_not_grow_with_the_group)
{
    CHECK_EQUAL(4, feed_sources(nodes(70, 4), "t", most_alone).size());
    CHECK_EQUAL(4, feed_sources(nodes(390, 4), "t", most_alone).size());
    CHECK_EQUAL(2, feed_sources(nodes(390, 1), "t", most_alone).size());
}

TEST(feed_sources, a_node_that_comes_or_goes_moves_few)
{
    const auto before = feed_sources(nodes(70, 4), "t", most_alone);
    const auto after = feed_sources(nodes(71, 4), "t", most_alone);
    const auto kept =
        std::count_if(after.begin(), after.end(),
                      [&before](const node_info& node) {
                          return std::find(before.begin(), before.end(),
                                           node) != before.end();
                      });
    CHECK(kept >= 3);
}

TEST(feed_sources, a_node_follows_two_the_nearest_first)
{
    const auto sources = feed_sources(nodes(70, 4), "t", most_alone);
    const auto chosen = feeds_of(sources, availability_zone_name("z2"));
    CHECK_EQUAL(2, chosen.size());
    STRCMP_EQUAL("z2", chosen[0].availability_zone.str().c_str());
}
