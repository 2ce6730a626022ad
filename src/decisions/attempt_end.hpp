#pragma once

namespace parsleytrack
{

/// How an attempt at a batch item has ended at a gate.
enum class attempt_end
{
    completed,
    /// The backend server refused in a way that no repetition will cure.
    rejected,
    failed,
    /// Nothing was sent to a backend server.
    not_run,
    /// The gate took the slot back for online work.
    preempted,
    /// The replica died while the item was running on it.
    replica_lost
};

} // namespace parsleytrack
