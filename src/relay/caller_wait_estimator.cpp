#include "relay/caller_wait_estimator.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

namespace
{

/// Callers give their remaining time in milliseconds and may take a while to
/// connect; a smaller difference does not indicate an earlier attempt.
constexpr duration tolerance = std::chrono::milliseconds(20);
/// Several times the timeout that callers commonly use.
constexpr duration observation_period = std::chrono::seconds(60);

} // namespace

duration caller_wait_estimator::estimate(const std::string& route,
                                         duration remaining_time,
                                         time_point now)
{
    route_times& times = this->routes[route];
    if (now >= times.period_end)
    {
        times.previous = now < times.period_end + observation_period
                             ? times.current
                             : duration::zero();
        times.current = duration::zero();
        times.period_end = now + observation_period;
    }
    times.current = std::max(times.current, remaining_time);
    const duration elapsed =
        std::max(times.current, times.previous) - remaining_time;
    return elapsed > tolerance ? elapsed : duration::zero();
}

} // namespace parsleytrack::relay
