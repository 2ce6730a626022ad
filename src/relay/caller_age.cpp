#include "relay/caller_age.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

namespace
{

/// Callers measure their time left to the millisecond, and may take a while to
/// connect.
constexpr duration margin = std::chrono::milliseconds(20);
/// Several times the time that callers commonly have.
constexpr duration period = std::chrono::seconds(60);

} // namespace

duration caller_age::note(const std::string& route, duration time_left,
                          time_point now)
{
    route_times& times = this->routes[route];
    if (now >= times.period_end)
    {
        times.previous =
            now < times.period_end + period ? times.current : duration::zero();
        times.current = duration::zero();
        times.period_end = now + period;
    }
    times.current = std::max(times.current, time_left);
    const duration age = std::max(times.current, times.previous) - time_left;
    return age > margin ? age : duration::zero();
}

} // namespace parsleytrack::relay
