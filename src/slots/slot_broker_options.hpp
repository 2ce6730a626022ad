#pragma once

#include "units/time.hpp"

namespace parsleytrack::slots
{

/// Limits and initial estimates of a slot broker.
struct slot_broker_options
{
    /// Fraction of all slots that batch work leaves free, so that most online
    /// requests need not wait for a slot to be reclaimed. One slot in sixteen
    /// covers the requests that arrive during one reclaim in a burst at the
    /// sites.
    double online_reserve = 0.0625;
    /// Assumed hold time of an online request before any has been measured.
    duration initial_hold_estimate = std::chrono::milliseconds(500);
    /// Weight of a new measurement in the moving average of the hold time.
    double hold_weight = 0.05;
    /// Time from reclaiming a slot to its next use: two messages between
    /// nodes and closing a connection.
    duration reclaim_time = std::chrono::milliseconds(15);
    /// Time by which a grant may follow the moment at which a limit allows it:
    /// two ticks of the broker.
    duration grant_delay = std::chrono::milliseconds(40);
    /// A replica that names a limit gets at least one request in this time, if
    /// there are any.
    duration limit_check_interval = std::chrono::seconds(5);
    /// Consecutive failures after which a replica is excluded.
    int failure_limit = 2;
    duration initial_backoff = std::chrono::milliseconds(500);
    duration max_backoff = std::chrono::seconds(4);
    /// Bounds of the retry delay sent with a refusal.
    duration min_retry_after = std::chrono::milliseconds(50);
    duration max_retry_after = std::chrono::seconds(2);
};

} // namespace parsleytrack::slots
