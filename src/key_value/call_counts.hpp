#pragma once

#include <cstdint>

namespace parsleytrack::key_value
{

/// Number of calls sent to the store, retries included.
struct call_counts
{
    std::uint64_t reads = 0;
    /// Reads whose data may be seconds old; they cost the store a tenth of a
    /// consistent read.
    std::uint64_t stale_reads = 0;
    /// Reads of nothing that show whether the store responds; they cost it as
    /// much as stale reads.
    std::uint64_t confirmations = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;
    /// Calls of any kind that were rejected or got no response.
    std::uint64_t failures = 0;
};

} // namespace parsleytrack::key_value
