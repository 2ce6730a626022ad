#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// How a gate uses its replica.
struct gate_options
{
    /// Requests that the replica runs at the same time.
    int slots = 8;
    /// Slots that batch work never takes, whatever the trade setting.
    int online_reserve = 0;
    /// Online requests that may wait, for each slot.
    int queued_per_slot = 4;
    /// 0 favours online latency, 1 favours batch throughput.
    double batch_weight = 0.5;
    /// Batch items kept ready beyond those that run.
    int batch_prefetch = 2;
    /// How long a preempted batch item waits here before it is handed back.
    duration preempted_hold = std::chrono::seconds(2);
    /// Without a load report from the replica, how long a new gate holds work
    /// that an earlier gate may still be running.
    duration takeover_wait = std::chrono::milliseconds(250);
    /// How long a new gate believes the replica's word of work of others.
    duration takeover_window = std::chrono::seconds(5);
    /// Failures in a row after which the replica is left alone.
    int failure_limit = 3;
    /// How long no batch item is started after one has failed. A replica that
    /// dies still accepts connections for a moment, and an item that began then
    /// would seem to have been in flight at its death.
    duration batch_failure_hold = std::chrono::milliseconds(250);
    /// First and longest time that a failing replica is left alone.
    duration first_pause = std::chrono::milliseconds(500);
    /// Busy without a sign of life for so long, a replica gets no new work.
    duration silence_limit = std::chrono::milliseconds(1500);
    /// Busy without a sign of life for so long, a replica is to be asked for
    /// its load.
    duration probe_after = std::chrono::milliseconds(500);
    duration longest_pause = std::chrono::seconds(15);
};

} // namespace parsleytrack
