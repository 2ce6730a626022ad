#pragma once

#include "cli/load_options.hpp"
#include "units/random_source.hpp"

namespace parsleytrack::cli
{

/// Generates the arrival times of open-loop requests: a Poisson process whose
/// rate is higher in bursts.
class arrival_process
{
public:
    explicit arrival_process(const load_options& load);

    /// \returns The time from the start to the next arrival.
    duration next();

private:
    /// \returns The rate at a given time, in arrivals per second.
    double rate_at(duration since_start) const;

    double rate;
    double burst_factor;
    duration burst_interval;
    duration burst_length;
    random_source random;
    duration last = duration::zero();
};

} // namespace parsleytrack::cli
