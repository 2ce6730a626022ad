#pragma once

#include <chrono>
#include <cstdint>

namespace parsleytrack
{

/// \returns Milliseconds since 1970 by the wall clock, which instances share
/// to within their clock synchronisation. For times that outlive a process.
inline std::int64_t wall_clock_ms()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
        .count();
}

/// \returns Seconds since 1970 by the wall clock.
inline std::int64_t wall_clock_s()
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    return wall_clock_ms() / milliseconds_per_second;
}

} // namespace parsleytrack
