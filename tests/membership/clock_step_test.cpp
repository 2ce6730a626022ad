#include "membership/membership_world.hpp"
#include "peering/group_options.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int node_count = 9;
constexpr duration convergence_limit = seconds(2);
constexpr std::uint64_t seed_count = 40;

void start_all(membership_world& world)
{
    for (int node = 0; node < node_count; ++node)
    {
        world.start(node);
    }
}

} // namespace

/// The time of day of an instance jumps before its process is started again.
TEST_GROUP(clock_step){};

TEST(clock_step, a_process_started_after_a_step_back_is_soon_seen_by_all)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        for (const duration step : {duration(seconds(8)), duration(hours(1))})
        {
            membership_world world(seed, peering::group_options());
            start_all(world);
            world.run_for(seconds(10));
            world.kill(4);
            world.clock_error = -step;
            world.start(4);
            world.run_for(convergence_limit);
            LONGS_EQUAL(0, world.wrong_beliefs());
        }
    }
}

TEST(clock_step, a_process_started_at_its_predecessors_time_is_told_apart)
{
    membership_world world(1, peering::group_options());
    start_all(world);
    world.run_for(seconds(10));
    world.kill(4);
    // The new process starts with the incarnation that the others know.
    world.clock_error = -seconds(10);
    world.start(4);
    world.run_for(convergence_limit);
    LONGS_EQUAL(0, world.wrong_beliefs());
}

TEST(clock_step, a_process_started_at_the_right_time_follows_one_far_ahead)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        start_all(world);
        world.run_for(seconds(5));
        world.clock_error = hours(1);
        world.kill(4);
        world.start(4);
        world.run_for(seconds(5));
        world.clock_error = duration::zero();
        world.kill(4);
        world.start(4);
        world.run_for(convergence_limit);
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}

TEST(clock_step, a_restart_of_all_with_differing_clocks_ends_in_one_view)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        start_all(world);
        world.run_for(seconds(10));
        for (int node = 0; node < node_count; ++node)
        {
            world.kill(node);
        }
        world.run_for(seconds(1));
        for (int node = 0; node < node_count; ++node)
        {
            world.clock_error = node % 2 == 0 ? -hours(1) : seconds(8);
            world.start(node);
        }
        world.run_for(convergence_limit);
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}

TEST(clock_step, views_are_right_after_random_restarts_steps_and_losses)
{
    constexpr int steps = 40;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        random_source random(seed);
        start_all(world);
        world.run_for(seconds(5));
        world.loss = 0.2;
        for (int step = 0; step < steps; ++step)
        {
            const int node = static_cast<int>(random() % node_count);
            const auto error = static_cast<std::int64_t>(random() % 7200);
            world.clock_error = seconds(error) - hours(1);
            if (world.is_running(node))
            {
                world.kill(node);
            }
            else
            {
                world.start(node);
            }
            world.run_for(milliseconds(random() % 1500));
        }
        world.loss = 0;
        for (int node = 0; node < node_count; ++node)
        {
            if (!world.is_running(node))
            {
                world.start(node);
            }
        }
        world.run_for(seconds(10));
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}
