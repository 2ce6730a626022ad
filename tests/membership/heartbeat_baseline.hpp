#pragma once

#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <vector>

namespace parsleytrack
{

/// A simple failure detector to compare the membership with: every node sends
/// heartbeats to every other node and declares a node dead after a time without
/// heartbeats from it.
class heartbeat_baseline
{
public:
    struct outcome
    {
        /// From the kill until all other nodes have declared the victim dead.
        duration detection = duration::zero();
        int false_deaths = 0;
        double bytes_per_node_and_second = 0;
    };

    /// \param count Number of nodes.
    /// \param loss Probability that a heartbeat is lost.
    /// \param dead_timeout Time without heartbeats after which a node is
    /// declared dead.
    /// \param time_before_kill How long all nodes run before one is killed.
    static outcome run(std::uint64_t seed, int count, double loss,
                       duration dead_timeout, duration time_before_kill);
};

} // namespace parsleytrack
