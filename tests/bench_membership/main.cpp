// Prints, for one region of a given size in virtual time, what the membership
// costs each node and how soon it notices a kill and a planned stop.

#include "membership/membership_world.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_int32(nodes, 49, "Nodes in the region");
DEFINE_uint64(seed, 1, "Seed of the run");
DEFINE_double(
    publish_interval_s, 0,
    "How often each node publishes a value of the board; 0 for never");
DEFINE_int32(value_bytes, 200, "Size of a value");
DEFINE_double(loss, 0, "Chance that a datagram is lost");
DEFINE_int32(measure_s, 60, "Virtual seconds that are measured");

using namespace parsleytrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration step = milliseconds(100);
constexpr int settle_s = 60;
constexpr int longest_wait_s = 60;

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Runs for a while, with each node publishing at its interval.
/// \returns The oldest value held anywhere, at the worst moment.
duration run_with_board(membership_world& world, duration span)
{
    const bool publishes = FLAGS_publish_interval_s > 0;
    const auto steps_per_value = std::max(
        1, static_cast<int>(FLAGS_publish_interval_s / in_seconds(step)));
    duration oldest = duration::zero();
    const auto steps = static_cast<int>(span / step);
    for (int count = 0; count < steps; ++count)
    {
        for (int node = 0; publishes && node < world.count(); ++node)
        {
            if (world.is_running(node) && (count + node) % steps_per_value == 0)
            {
                world.publish(node, "gate",
                              static_cast<std::size_t>(FLAGS_value_bytes));
            }
        }
        world.run_for(step);
        const bool warm = count > steps / 2;
        if (publishes && warm && count % 10 == 0)
        {
            oldest = std::max(oldest, world.oldest_value_age("gate"));
        }
    }
    return oldest;
}

/// \returns Seconds until no running node holds a state of the subject.
double seconds_until_none_believes(membership_world& world, int subject,
                                   node_state state)
{
    for (int count = 1; count < longest_wait_s * 10; ++count)
    {
        world.run_for(step);
        bool believed = false;
        for (int node = 0; node < world.count(); ++node)
        {
            believed = believed || (node != subject && world.is_running(node) &&
                                    world.belief(node, subject) == state);
        }
        if (!believed)
        {
            return count * in_seconds(step);
        }
    }
    return longest_wait_s;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    membership_world world(FLAGS_seed, membership_options());
    for (int node = 0; node < FLAGS_nodes; ++node)
    {
        world.start(node);
    }
    run_with_board(world, seconds(settle_s));
    const int unsettled = world.wrong_beliefs();
    world.loss = FLAGS_loss;
    world.totals = {};
    world.call_time = {};
    world.calls = 0;
    world.false_deaths = 0;
    world.false_suspicions = 0;
    const duration oldest = run_with_board(world, seconds(FLAGS_measure_s));
    const auto totals = world.totals;
    const double node_seconds = 1.0 * FLAGS_nodes * FLAGS_measure_s;
    const double busy_s =
        std::chrono::duration<double>(world.call_time).count();
    std::printf("nodes=%d wrong_after_start=%d\n", FLAGS_nodes, unsettled);
    std::printf("per node and second: datagrams=%.1f datagram_bytes=%.0f "
                "exchanges=%.2f exchange_bytes=%.0f cpu_us=%.0f\n",
                static_cast<double>(totals.datagrams) / node_seconds,
                static_cast<double>(totals.datagram_bytes) / node_seconds,
                static_cast<double>(totals.exchanges) / node_seconds,
                static_cast<double>(totals.exchange_bytes) / node_seconds,
                busy_s * 1e6 / node_seconds);
    std::printf("cpu_us_per_call=%.1f false_suspicions=%d false_deaths=%d "
                "oldest_board_value_s=%.1f\n",
                busy_s * 1e6 / static_cast<double>(world.calls),
                world.false_suspicions, world.false_deaths, in_seconds(oldest));
    const int victim = FLAGS_nodes / 2;
    world.kill(victim);
    std::printf("killed: suspected everywhere after %.1f s",
                seconds_until_none_believes(world, victim, node_state::alive));
    std::printf(", leaving known everywhere after ");
    world.leave(victim + 1);
    std::printf("%.1f s\n", seconds_until_none_believes(world, victim + 1,
                                                        node_state::alive));
    return 0;
}
