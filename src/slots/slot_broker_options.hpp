#pragma once

#include "units/time.hpp"

namespace parsleytrack::slots
{

/// Bounds and first estimates of a slot broker.
struct slot_broker_options
{
    /// Share of all slots that batch work leaves free, so that most online
    /// requests need not wait for a slot to be reclaimed. One slot in sixteen
    /// covers the arrivals within one reclaim at the sites' bursts.
    double online_reserve = 0.0625;
    /// Assumed time that an online request holds a slot until it is measured.
    duration initial_hold_estimate = std::chrono::milliseconds(500);
    /// Weight of a new measurement in the mean time of holding a slot.
    double hold_weight = 0.05;
    /// Time from reclaiming a slot to its next use: two messages between
    /// nodes and the close of a connection.
    duration reclaim_time = std::chrono::milliseconds(15);
    /// Failures in a row after which a replica is left alone.
    int failure_limit = 2;
    duration initial_backoff = std::chrono::milliseconds(500);
    duration max_backoff = std::chrono::seconds(4);
    /// Bounds of the time that a refused caller is told to wait.
    duration min_retry_after = std::chrono::milliseconds(50);
    duration max_retry_after = std::chrono::seconds(2);
};

} // namespace parsleytrack::slots
