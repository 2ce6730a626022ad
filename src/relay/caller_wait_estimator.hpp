#pragma once

#include "units/time.hpp"

#include <map>
#include <string>

namespace parsleytrack::relay
{

/// Estimates from a caller's remaining time how long ago it first sent its
/// request. Callers of one route start with the same time; one with less has
/// already tried another node.
class caller_wait_estimator
{
public:
    /// \param route The route's name.
    /// \param remaining_time As stated by the caller.
    /// \param now When its request arrived.
    /// \returns Time since the caller's first attempt; zero if this is the
    /// first.
    duration estimate(const std::string& route, duration remaining_time,
                      time_point now);

private:
    struct route_times
    {
        /// Longest remaining times in the current period and the one before.
        /// Older ones are dropped, so that a caller with an unusually long time
        /// affects the estimates only briefly.
        duration current = duration::zero();
        duration previous = duration::zero();
        time_point period_end;
    };

    std::map<std::string, route_times> routes;
};

} // namespace parsleytrack::relay
