#pragma once

#include "units/ids.hpp"

#include <cstdint>

namespace parsleytrack
{

/// What the head of a batch submission says.
struct batch_submission
{
    job_id job;
    workspace_name workspace;
    /// Whether the caller gave a key, so that the job may exist already.
    bool may_exist = false;
    /// Milliseconds since 1970.
    std::int64_t deadline_ms = 0;
};

} // namespace parsleytrack
