#include "membership/membership_world.hpp"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace parsleytrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

void start_all(membership_world& world, int count)
{
    for (int node = 0; node < count; ++node)
    {
        world.start(node);
    }
}

} // namespace

TEST_GROUP(membership_runs){};

TEST(membership_runs, all_nodes_of_a_region_started_together_find_each_other)
{
    membership_world world(1, membership_options());
    start_all(world, 50);
    world.run_for(seconds(15));
    LONGS_EQUAL(0, world.wrong_beliefs());
    LONGS_EQUAL(0, world.false_deaths);
}

TEST(membership_runs, all_nodes_suspect_a_killed_node_within_seconds)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        membership_world world(seed, membership_options());
        start_all(world, 50);
        world.run_for(seconds(20));
        world.kill(7);
        world.run_for(seconds(5));
        for (int observer = 0; observer < world.count(); ++observer)
        {
            CHECK(observer == 7 ||
                  world.belief(observer, 7) != node_state::alive);
        }
        world.run_for(seconds(8));
        LONGS_EQUAL(0, world.wrong_beliefs());
        LONGS_EQUAL(0, world.false_deaths);
    }
}

TEST(membership_runs, a_node_frozen_past_the_suspicion_timeout_rejoins)
{
    membership_world world(3, membership_options());
    start_all(world, 50);
    world.run_for(seconds(20));
    // The node is frozen while an acknowledgement to its probe is due.
    world.delay = milliseconds(450);
    world.run_for(seconds(2));
    world.freeze(7);
    world.delay = milliseconds(1);
    world.run_for(seconds(15));
    CHECK(world.belief(3, 7) == node_state::dead);
    world.false_deaths = 0;
    world.false_suspicions = 0;
    world.thaw(7);
    world.run_for(seconds(10));
    LONGS_EQUAL(0, world.wrong_beliefs());
    // It does not suspect others whose acknowledgements it missed.
    LONGS_EQUAL(0, world.false_suspicions);
    LONGS_EQUAL(0, world.false_deaths);
}

TEST(membership_runs, views_merge_after_a_partition_with_nodes_declared_dead)
{
    membership_world world(4, membership_options());
    start_all(world, 60);
    world.run_for(seconds(20));
    world.partition([](int node) { return node % 3 == 0 ? 1 : 0; });
    world.run_for(seconds(90));
    CHECK(world.belief(0, 1) == node_state::dead);
    CHECK(world.belief(1, 0) == node_state::dead);
    CHECK(world.belief(1, 2) == node_state::alive);
    world.heal();
    world.run_for(seconds(45));
    LONGS_EQUAL(0, world.wrong_beliefs());
}

TEST(membership_runs, all_nodes_see_a_leaving_node_as_leaving)
{
    membership_world world(5, membership_options());
    start_all(world, 50);
    world.run_for(seconds(20));
    world.leave(9);
    world.run_for(seconds(4));
    LONGS_EQUAL(0, world.wrong_beliefs());
    // A leaving node that is declared dead while frozen is leaving again after
    // it thaws.
    world.freeze(9);
    world.run_for(seconds(15));
    CHECK(world.belief(1, 9) == node_state::dead);
    world.thaw(9);
    world.run_for(seconds(10));
    LONGS_EQUAL(0, world.wrong_beliefs());
}

TEST(membership_runs, a_node_restarted_at_another_address_is_seen_alive)
{
    membership_world world(6, membership_options());
    start_all(world, 50);
    world.run_for(seconds(20));
    world.kill(9);
    world.start(9, 5000);
    world.run_for(seconds(10));
    LONGS_EQUAL(0, world.wrong_beliefs());
    LONGS_EQUAL(0, world.false_deaths);
}

TEST(membership_runs, a_restart_of_most_nodes_ends_in_one_view)
{
    membership_world world(8, membership_options());
    start_all(world, 60);
    world.run_for(seconds(20));
    for (int node = 0; node < 60; ++node)
    {
        if (node % 4 != 0)
        {
            world.kill(node);
        }
    }
    world.run_for(seconds(3));
    for (int node = 0; node < 60; ++node)
    {
        if (node % 4 != 0)
        {
            world.start(node);
        }
    }
    world.run_for(seconds(30));
    LONGS_EQUAL(0, world.wrong_beliefs());
}

TEST(membership_runs, views_are_correct_after_random_faults_end)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        membership_world world(seed, membership_options());
        random_source random(seed);
        const int count = 30;
        start_all(world, count);
        world.run_for(seconds(15));
        world.loss = 0.1;
        world.jitter = milliseconds(100);
        for (int step = 0; step < 60; ++step)
        {
            const int node = static_cast<int>(random() % count);
            switch (random() % 6)
            {
            case 0:
                world.kill(node);
                break;
            case 1:
                world.freeze(node);
                break;
            case 2:
                world.thaw(node);
                break;
            case 3:
                world.start(node);
                break;
            case 4:
                world.partition([step](int other)
                                { return (other * 7 + step) % 3; });
                break;
            default:
                world.heal();
                break;
            }
            if (world.is_running(node))
            {
                world.publish(node, "gate", 150);
            }
            world.run_for(milliseconds(random() % 6000));
        }
        world.heal();
        world.loss = 0;
        for (int node = 0; node < count; ++node)
        {
            world.thaw(node);
            if (!world.is_running(node))
            {
                world.start(node);
            }
        }
        world.run_for(seconds(90));
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}

TEST(membership_runs, indirect_probes_reduce_suspicions_from_packet_loss)
{
    const auto suspicions = [](int indirect_probes)
    {
        membership_options options;
        options.indirect_probes = indirect_probes;
        membership_world world(9, options);
        start_all(world, 30);
        world.run_for(seconds(15));
        world.loss = 0.1;
        world.run_for(seconds(120));
        LONGS_EQUAL(0, world.false_deaths);
        return world.false_suspicions;
    };
    CHECK(suspicions(3) * 5 < suspicions(0));
}

TEST(membership_runs, values_after_a_restart_with_an_earlier_clock_are_accepted)
{
    membership_world world(12, membership_options());
    start_all(world, 10);
    world.run_for(seconds(15));
    for (int node = 0; node < 10; ++node)
    {
        world.publish(node, "gate", 100);
    }
    world.run_for(seconds(5));
    world.kill(4);
    world.clock_error = -seconds(60);
    world.start(4);
    world.run_for(seconds(2));
    world.publish(4, "gate", 100);
    const time_point published = world.now();
    world.run_for(seconds(60));
    LONGS_EQUAL(0, world.wrong_beliefs());
    CHECK(world.publish_time_of(1, 4, "gate") >= published);
}
