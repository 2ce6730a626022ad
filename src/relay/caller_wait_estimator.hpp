#pragma once

#include "units/time.hpp"

#include <map>
#include <string>

namespace parsleytrack::relay
{

/// Tells from the time that a caller has left how long ago it asked first.
/// Callers of one route start with the same time; who has less has asked
/// another node before.
class caller_wait_estimator
{
public:
    /// \param route The route's name.
    /// \param remaining_time What the caller says.
    /// \param now When its request came.
    /// \returns How long before this request the caller asked first; zero for
    /// a first request.
    duration estimate(const std::string& route, duration remaining_time,
                      time_point now);

private:
    struct route_times
    {
        /// Longest times left in the current period and in the one before, so
        /// that a caller with more time than all others is forgotten.
        duration current = duration::zero();
        duration previous = duration::zero();
        time_point period_end;
    };

    std::map<std::string, route_times> routes;
};

} // namespace parsleytrack::relay
