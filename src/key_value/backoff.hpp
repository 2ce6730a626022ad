#pragma once

#include "units/random_source.hpp"
#include "units/time.hpp"

namespace parsleytrack::key_value
{

/// Delays that double after each failure, with jitter, so that many nodes that
/// failed at the same moment do not come back at the same moment.
class backoff
{
public:
    /// \param first The longest first delay.
    /// \param limit The longest delay of all.
    backoff(duration first, duration limit);

    /// \returns The next delay, between half of the step and the whole step.
    duration next(random_source& random);

    /// Starts over after a success.
    void reset() { this->step = this->first; }

private:
    duration first;
    duration limit;
    duration step;
};

} // namespace parsleytrack::key_value
