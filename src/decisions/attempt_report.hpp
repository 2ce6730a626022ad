#pragma once

#include "decisions/attempt_end.hpp"
#include "units/ids.hpp"

#include <string>

namespace parsleytrack
{

/// What a gate reports of one attempt at an item.
struct attempt_report
{
    int index = 0;
    int attempt = 0;
    attempt_end how = attempt_end::failed;
    replica_id replica;
    int http_status = 0;
    std::string body;
    std::string message;
    /// For attempt_end::preempted: all text that was generated so far.
    std::string generated_so_far;
};

} // namespace parsleytrack
