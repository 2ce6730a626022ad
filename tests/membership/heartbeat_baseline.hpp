#pragma once

#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <vector>

namespace parsleytrack
{

/// The naive way that the membership is compared with: every node sends a
/// heartbeat to every other and holds dead whom it has not heard for a
/// while.
class heartbeat_baseline
{
public:
    struct outcome
    {
        /// From the kill until the last node holds the victim dead.
        duration detection = duration::zero();
        int false_deaths = 0;
        double bytes_per_node_and_second = 0;
    };

    /// \param count Nodes.
    /// \param loss Chance that a heartbeat is lost.
    /// \param dead_timeout When a node is held dead.
    /// \param time_before_kill How long all live until one is killed.
    static outcome run(std::uint64_t seed, int count, double loss,
                       duration dead_timeout, duration time_before_kill);
};

} // namespace parsleytrack
