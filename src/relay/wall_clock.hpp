#pragma once

#include <chrono>
#include <cstdint>

namespace parsleytrack::relay
{

/// \returns The time of day in Unix milliseconds. Only for times that several
/// nodes compare; it may differ between them and may jump.
inline std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace parsleytrack::relay
