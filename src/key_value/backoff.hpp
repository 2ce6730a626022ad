#pragma once

#include "units/random_source.hpp"
#include "units/time.hpp"

namespace parsleytrack::key_value
{

/// Exponential backoff with jitter, so that many nodes that failed at the same
/// moment do not retry at the same moment.
class backoff
{
public:
    /// \param initial_delay Upper bound of the first delay.
    /// \param max_delay Upper bound of every later delay.
    backoff(duration initial_delay, duration max_delay);

    /// Doubles the upper bound for the call after this one.
    ///
    /// \returns A random delay between half of the current upper bound and all
    /// of it.
    duration next_delay(random_source& random);

    /// Changes the upper bound of later delays.
    void set_max_delay(duration limit);

    /// Returns to the initial delay after a success.
    void reset() { this->current_delay = this->initial_delay; }

private:
    duration initial_delay;
    duration max_delay;
    duration current_delay;
};

} // namespace parsleytrack::key_value
