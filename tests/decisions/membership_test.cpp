#include "decisions/membership.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace parsleytrack;

namespace
{

member_record make_record(const std::string& id, std::int64_t incarnation,
                          node_state state, bool leaving)
{
    member_record record;
    record.node.id = node_id(id);
    record.node.incarnation = incarnation_number(incarnation);
    record.node.state = state;
    record.leaving = leaving;
    return record;
}

} // namespace

TEST_GROUP(member_table)
{
    member_table table;
    time_point now;
};

TEST(member_table, the_order_of_merged_claims_does_not_matter)
{
    random_source random(7);
    const std::vector<node_state> states{node_state::alive, node_state::suspect,
                                         node_state::dead};
    for (int round = 0; round < 300; ++round)
    {
        std::vector<member_record> claims{
            make_record("a", 1, node_state::alive, false)};
        for (int count = 0; count < 6; ++count)
        {
            claims.push_back(
                make_record("a", 1 + static_cast<std::int64_t>(random() % 2),
                            states[random() % 3], random() % 3 == 0));
        }
        std::vector<member_record> outcomes;
        for (int order = 0; order < 4; ++order)
        {
            // The first claim stays first, since the table ignores a claim
            // that an unknown node is dead.
            std::shuffle(claims.begin() + 1, claims.end(), random);
            member_table joined;
            for (const member_record& claim : claims)
            {
                joined.merge(claim, this->now);
            }
            outcomes.push_back(joined.find(node_id("a"))->record);
        }
        for (const member_record& outcome : outcomes)
        {
            CHECK(outcome == outcomes.front());
        }
    }
}

TEST(member_table, a_node_stays_leaving_within_an_incarnation)
{
    this->table.merge(make_record("a", 5, node_state::alive, true), this->now);
    CHECK(!this->table.merge(make_record("a", 5, node_state::alive, false),
                             this->now));
    CHECK(this->table.find(node_id("a"))->record.leaving);
    CHECK(this->table.merge(make_record("a", 6, node_state::alive, false),
                            this->now));
    CHECK(!this->table.find(node_id("a"))->record.leaving);
}

TEST(member_table, an_evicted_node_is_not_added_again_as_dead)
{
    using std::chrono::seconds;
    this->table.merge(make_record("a", 1, node_state::alive, false), this->now);
    this->table.merge(make_record("a", 1, node_state::dead, false), this->now);
    LONGS_EQUAL(0, this->table.evict_dead(seconds(10), this->now).size());
    const time_point later = this->now + seconds(10);
    LONGS_EQUAL(1, this->table.evict_dead(seconds(10), later).size());
    CHECK(!this->table.merge(make_record("a", 1, node_state::dead, false),
                             later));
    LONGS_EQUAL(0, this->table.present_count());
}
