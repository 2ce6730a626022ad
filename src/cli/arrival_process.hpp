#pragma once

#include "cli/load_options.hpp"
#include "units/random_source.hpp"

namespace parsleytrack::cli
{

/// Draws when open-loop requests arrive: a Poisson process whose rate is
/// higher in bursts.
class arrival_process
{
public:
    explicit arrival_process(const load_options& load);

    /// \returns The time of the next arrival since the start.
    duration next();

private:
    /// \returns Arrivals a second at a time.
    double rate_at(duration since_start) const;

    double rate;
    double burst_factor;
    duration burst_interval;
    duration burst_length;
    random_source random;
    duration last = duration::zero();
};

} // namespace parsleytrack::cli
