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
    backoff(duration initial_delay, duration max_delay);

    /// \returns The next delay, between half of the step and the whole step.
    duration next_delay(random_source& random);

    /// Starts over after a success.
    void reset() { this->current_delay = this->initial_delay; }

private:
    duration initial_delay;
    duration max_delay;
    duration current_delay;
};

} // namespace parsleytrack::key_value
