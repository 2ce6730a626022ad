#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack
{

/// Bounds within which the items of a lot are run.
struct lot_limits
{
    /// Attempts at one item that may fail.
    int attempts = 4;
    /// Replica deaths after which an item runs alone.
    int deaths_before_alone = 2;
    /// After this time without a report an attempt counts as failed.
    duration attempt_timeout = std::chrono::seconds(120);
    /// The same for items that must not run twice; they end by it.
    duration non_idempotent_timeout = std::chrono::minutes(10);
    /// Wait before an item is tried again; doubles with each failure.
    duration retry_wait = std::chrono::milliseconds(500);
    /// How long an item that is ready waits for a replica that has not failed
    /// it.
    duration avoid_time = std::chrono::seconds(10);
    /// The most time that results wait to be committed together, at first.
    duration commit_interval = std::chrono::seconds(2);
    /// The interval doubles with each so many commits, which bounds the writes
    /// and the record of a lot that runs for long.
    int commits_per_doubling = 4;
    /// Results of this size are committed at once.
    byte_count commit_size{4 * 1024 * 1024};
    /// Beyond this size of uncommitted results no item is handed out.
    byte_count uncommitted_limit{16 * 1024 * 1024};
};

} // namespace parsleytrack
