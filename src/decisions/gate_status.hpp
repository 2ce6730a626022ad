#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// What a gate knows of its replica, for others and for metrics.
struct gate_status
{
    int slots = 0;
    int online_running = 0;
    int batch_running = 0;
    /// Work that others have sent to the replica.
    int foreign_running = 0;
    int online_queued = 0;
    /// Those of them that a new request within its share would wait for.
    int online_ahead = 0;
    int batch_queued = 0;
    /// Time until a new online request would give its first output.
    duration predicted_first_output = duration::zero();
    /// Time from sending to the first output, measured lately.
    duration first_output_latency = duration::zero();
    /// Whether the replica is to be asked for its load as a sign of life.
    bool wants_probe = false;
    /// Whether the replica takes online work at all.
    bool usable = true;
};

} // namespace parsleytrack
