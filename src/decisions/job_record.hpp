#pragma once

#include "decisions/lot_input.hpp"
#include "units/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack
{

/// The agreed state of a batch job, as it stands in the platform's store. Only
/// the two flags ever change, each once.
struct job_record
{
    workspace_name workspace;
    /// Stands for the body that was submitted.
    std::string fingerprint;
    /// Milliseconds since 1970.
    std::int64_t deadline_ms = 0;
    std::int64_t created_ms = 0;
    int items = 0;
    std::vector<lot_input> lots;
    bool cancelled = false;
    /// Every item of every lot has ended.
    bool ended = false;
    region_name region;

    bool operator==(const job_record&) const = default;
};

} // namespace parsleytrack
