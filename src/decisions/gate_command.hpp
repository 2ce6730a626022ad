#pragma once

#include "decisions/work_id.hpp"
#include "units/error_code.hpp"
#include "units/time.hpp"

#include <optional>
#include <variant>

namespace parsleytrack
{

/// Send the work to the replica now.
struct start_work
{
    work_id id;
};

/// Cancel running work at the replica. Its slot is free once the gate is told
/// that it has ended.
struct stop_work
{
    work_id id;
};

/// Answer work that was not started, with an error.
struct refuse_work
{
    work_id id;
    error_code reason = error_code::overloaded;
    std::optional<duration> retry_after;
};

/// Give batch work that waits here back to the owner of its lot.
struct return_work
{
    work_id id;
    /// Whether it ran here before it was preempted.
    bool preempted = false;
};

/// Ask owners of lots for batch items.
struct pull_work
{
    int count = 0;
};

/// What a gate wants done.
using gate_command =
    std::variant<start_work, stop_work, refuse_work, return_work, pull_work>;

} // namespace parsleytrack
