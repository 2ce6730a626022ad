#pragma once

#include <chrono>
#include <cstdint>

namespace parsleytrack
{

/// \returns Wall-clock time in milliseconds since 1970-01-01 UTC. For times
/// that are used beyond one process; instances agree on it up to the error of
/// their clock synchronisation.
inline std::int64_t wall_clock_ms()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
        .count();
}

/// \returns Wall-clock time in seconds since 1970-01-01 UTC.
inline std::int64_t wall_clock_s()
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    return wall_clock_ms() / milliseconds_per_second;
}

} // namespace parsleytrack
