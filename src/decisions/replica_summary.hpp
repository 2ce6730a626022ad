#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// What a gate tells others of its replica.
struct replica_summary
{
    int slots = 1;
    int online_running = 0;
    int batch_running = 0;
    /// Online requests that a new one within its share would wait for.
    int online_ahead = 0;
    /// Time until a new online request would give its first output.
    duration predicted_first_output = duration::zero();
    /// Time from sending to the first output, measured lately.
    duration first_output_latency = duration::zero();
    /// Whether the gate takes online work for the replica.
    bool usable = true;

    bool operator==(const replica_summary&) const = default;
};

} // namespace parsleytrack
