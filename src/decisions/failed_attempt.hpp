#pragma once

#include "units/error_code.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/ran_state.hpp"
#include "units/time.hpp"

namespace parsleytrack
{

/// What is known of an attempt that has failed.
struct failed_attempt
{
    service_name service;
    /// Counted without attempts that a gate has passed back.
    attempt_number attempt;
    error_code reason = error_code::internal;
    ran_state ran = ran_state::unknown;
    /// Whether the request may be executed more than once.
    bool idempotent = false;
    /// Time until its answer is of no use.
    duration time_left = duration::zero();
};

} // namespace parsleytrack
