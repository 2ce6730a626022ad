#pragma once

#include <chrono>
#include <cstdint>

namespace parsleytrack
{

/// \returns Wall-clock time in microseconds since 1970-01-01 UTC. It may jump
/// by any amount, in both directions, and differ between instances. The relay
/// shows it to people only; see docs/design/time.md.
inline std::int64_t wall_clock_us()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
        .count();
}

/// \returns Wall-clock time in milliseconds since 1970-01-01 UTC.
inline std::int64_t wall_clock_ms()
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return wall_clock_us() / microseconds_per_millisecond;
}

/// \returns Wall-clock time in seconds since 1970-01-01 UTC.
inline std::int64_t wall_clock_s()
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    return wall_clock_ms() / milliseconds_per_second;
}

} // namespace parsleytrack
