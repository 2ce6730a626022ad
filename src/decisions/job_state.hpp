#pragma once

namespace parsleytrack
{

/// What a job's record says that bears on its lots.
enum class job_state
{
    open,
    cancelled,
    /// The deadline has passed.
    expired
};

} // namespace parsleytrack
