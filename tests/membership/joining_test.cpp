#include "membership/membership_world.hpp"
#include "peering/group_options.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int node_count = 9;
/// Each separate view has its own broker, which grants all slots; callers are
/// affected when views differ for longer than this.
constexpr duration convergence_limit = seconds(2);
constexpr std::uint64_t seed_count = 60;

void start_nodes_from(membership_world& world, int first)
{
    for (int node = first; node < node_count; ++node)
    {
        world.start(node);
    }
}

} // namespace

TEST_GROUP(joining){};

TEST(joining, nodes_started_together_soon_share_one_view)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        start_nodes_from(world, 0);
        world.run_for(convergence_limit);
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}

TEST(joining, a_full_restart_without_one_seed_soon_ends_in_one_view)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        start_nodes_from(world, 0);
        world.run_for(seconds(20));
        for (int node = 0; node < node_count; ++node)
        {
            world.kill(node);
        }
        world.run_for(seconds(1));
        start_nodes_from(world, 1);
        world.run_for(convergence_limit);
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}

TEST(joining, halves_share_one_view_soon_after_a_partition_heals)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        membership_world world(seed, peering::group_options());
        start_nodes_from(world, 0);
        world.run_for(seconds(10));
        world.partition([](int node) { return node % 2; });
        world.run_for(seconds(8));
        CHECK(world.belief(0, 1) == node_state::dead);
        world.heal();
        world.run_for(convergence_limit);
        LONGS_EQUAL(0, world.wrong_beliefs());
    }
}
