#pragma once

namespace parsleytrack
{

/// How work that a gate has started came to its end.
enum class work_end
{
    completed,
    /// The replica failed it; counts against the replica's health.
    failed,
    /// The replica has not answered in time, and may be dead or frozen.
    timed_out,
    /// It was cancelled, by its caller or by the gate.
    cancelled
};

} // namespace parsleytrack
