#pragma once

#include <chrono>
#include <cstdint>

namespace parsleytrack
{

/// The unit of time in all decisions.
using duration = std::chrono::microseconds;

/// Clock type of time points that are passed in by the calling code. They come
/// from a monotonic clock in the daemon and from a counter in simulations.
struct logical_clock
{
    using duration = parsleytrack::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on the clock of one process; not comparable between
/// processes.
using time_point = logical_clock::time_point;

/// \returns The duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace parsleytrack
