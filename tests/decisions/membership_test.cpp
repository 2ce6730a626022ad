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

TEST(member_table, records_join_in_any_order)
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
            // A dead claim about an unknown node is not taken in, so the
            // first one stays in place.
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

TEST(member_table, a_leaving_node_stays_so_within_its_incarnation)
{
    this->table.merge(make_record("a", 5, node_state::alive, true), this->now);
    CHECK(!this->table.merge(make_record("a", 5, node_state::alive, false),
                             this->now));
    CHECK(this->table.find(node_id("a"))->record.leaving);
    CHECK(this->table.merge(make_record("a", 6, node_state::alive, false),
                            this->now));
    CHECK(!this->table.find(node_id("a"))->record.leaving);
}

TEST(member_table, a_forgotten_node_does_not_come_back_as_dead)
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
