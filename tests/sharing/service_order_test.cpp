#include "sharing/service_order.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::sharing;

TEST_GROUP(service_order)
{
    priority_turns turns;

    /// Serves lanes that always have another request.
    ///
    /// \returns The grants of each lane.
    std::map<std::size_t, int> serve(const std::vector<lane>& lanes, int count)
    {
        service_order order(lanes, 1.0, this->turns, true);
        std::map<std::size_t, int> grants;
        for (int grant = 0; grant < count; ++grant)
        {
            ++grants[*order.next()];
            order.grant(true);
        }
        this->turns = order.turns();
        return grants;
    }
};

// Load: a hot workspace that has used 5.8 times as much as each of the others.
// Guards against new grants to it before the others have caught up.
TEST(service_order, a_hot_workspace_waits_until_the_others_have_caught_up)
{
    auto grants =
        this->serve({{false, 0, 5.8}, {false, 0, 1.0}, {false, 0, 1.0}}, 10);
    CHECK_EQUAL(0, grants[0]);
    CHECK_EQUAL(5, grants[1]);
    CHECK_EQUAL(5, grants[2]);
}

// Load: a small workspace behind large ones that all want more than there is.
TEST(service_order, a_small_workspace_goes_before_large_ones)
{
    service_order order({{false, 0, 30.0}, {false, 0, 40.0}, {false, 0, 0.5}},
                        1.0, this->turns, true);
    CHECK_EQUAL(2, *order.next());
    order.grant(false);
    CHECK_EQUAL(0, *order.next());
}

TEST(service_order, use_does_not_outweigh_priority_or_lateness)
{
    service_order order(
        {{false, 0, 9.0}, {false, 1, 5.0}, {true, 2, 1.0}, {true, 3, 0.0}}, 1.0,
        this->turns, true);
    for (std::size_t expected = 0; expected < 4; ++expected)
    {
        CHECK_EQUAL(expected, *order.next());
        order.grant(false);
    }
    CHECK_FALSE(order.next().has_value());
}

// Guards against a workspace whose retries, which are late, wait for as long as
// a hot workspace has requests on time.
TEST(service_order, late_requests_go_before_those_of_a_workspace_with_more_use)
{
    // The second and third lane are of one workspace, the last one of another
    // that has no requests on time.
    service_order order({{false, 0, 9.0, {}},
                         {false, 0, 2.0, {}},
                         {true, 0, 2.0, 1},
                         {true, 0, 4.0, {}}},
                        1.0, this->turns, true);
    for (const std::size_t expected : {1U, 2U, 3U, 0U})
    {
        CHECK_EQUAL(expected, *order.next());
        order.grant(false);
    }
    CHECK_FALSE(order.next().has_value());
}

TEST(service_order, without_workspaces_late_requests_go_last)
{
    service_order order({{false, 0, 9.0, {}}, {true, 0, 1.0, {}}}, 1.0,
                        this->turns, false);
    CHECK_EQUAL(0, *order.next());
}

TEST(service_order, a_request_that_cannot_be_served_is_passed_over)
{
    service_order order({{false, 0, 0.0}, {false, 0, 1.0}}, 1.0, this->turns,
                        true);
    CHECK_EQUAL(0, *order.next());
    order.skip(true);
    CHECK_EQUAL(0, *order.next());
    order.skip(false);
    CHECK_EQUAL(1, *order.next());
    order.skip(false);
    CHECK_FALSE(order.next().has_value());
}

// Load: the most urgent priority always has requests waiting.
TEST(service_order, the_lowest_priority_gets_one_grant_in_sixteen)
{
    auto grants = this->serve({{false, 0, 0.0}, {false, 9, 0.0}}, 1600);
    CHECK_EQUAL(1500, grants[0]);
    CHECK_EQUAL(100, grants[1]);
}

TEST(service_order, each_lower_priority_gets_one_grant_in_sixteen)
{
    auto grants = this->serve(
        {{false, 0, 0.0}, {false, 1, 0.0}, {false, 2, 0.0}, {false, 3, 0.0}},
        1600);
    for (std::size_t lane = 1; lane < 4; ++lane)
    {
        CHECK(grants[lane] >= 99);
        CHECK(grants[lane] <= 101);
    }
}

// Guards against an urgent priority that starves beside many lower ones.
TEST(service_order, many_priorities_take_at_most_one_grant_in_four)
{
    std::vector<lane> lanes;
    for (int priority = 0; priority < 50; ++priority)
    {
        lanes.push_back({false, priority, 0.0});
    }
    auto grants = this->serve(lanes, 1600);
    CHECK(grants[0] >= 1200);
    for (std::size_t lane = 1; lane < lanes.size(); ++lane)
    {
        CHECK(grants[lane] > 0);
    }
}

// Guards against a turn for a priority that gets slots anyway.
TEST(service_order, a_priority_served_of_late_has_no_turn)
{
    for (int grant = 0; grant < 100; ++grant)
    {
        this->turns.record(grant % 10 == 0 ? 5 : 0, false);
    }
    CHECK_FALSE(this->turns.is_due(5));
    CHECK(this->turns.is_due(7));
}

TEST(service_order, the_grants_before_a_turn_are_known)
{
    this->turns.record(5, false);
    CHECK_EQUAL(15, this->turns.grants_before_turn(5));
    for (int grant = 0; grant < 15; ++grant)
    {
        this->turns.record(0, false);
    }
    CHECK_EQUAL(0, this->turns.grants_before_turn(5));
    CHECK(this->turns.is_due(5));
}

TEST(service_order, without_workspaces_no_priority_gets_a_turn)
{
    service_order order({{false, 0, 0.0}, {false, 1, 0.0}}, 1.0, this->turns,
                        false);
    for (int grant = 0; grant < 100; ++grant)
    {
        CHECK_EQUAL(0, *order.next());
        order.grant(true);
    }
}
