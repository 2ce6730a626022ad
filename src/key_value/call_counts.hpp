#pragma once

#include <cstdint>

namespace parsleytrack::key_value
{

/// Calls that were made to the store, copies of lost ones included.
struct call_counts
{
    std::uint64_t reads = 0;
    /// Reads that may be seconds old; they cost the store a tenth.
    std::uint64_t stale_reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;
    /// Calls of all kinds that were refused or not answered.
    std::uint64_t failures = 0;
};

} // namespace parsleytrack::key_value
