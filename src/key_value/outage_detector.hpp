#pragma once

#include "key_value/backoff.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

namespace parsleytrack::key_value
{

/// Decides from the ends of calls whether the store is out of reach. During an
/// outage only one probe at a time is let through, with growing pauses.
class outage_detector
{
public:
    outage_detector();

    /// A call was answered, whatever the answer.
    ///
    /// \returns Whether this ends an outage.
    bool record_response();

    /// A call was not answered.
    ///
    /// \returns Whether this begins an outage.
    bool record_failure(time_point now, random_source& random);

    bool is_reachable() const { return !this->down; }

    /// \returns Whether a probe may be sent now; it is then taken as sent.
    bool try_start_probe(time_point now);

    /// \returns How long until the next probe; for Retry-After as well.
    duration time_until_probe(time_point now) const;

private:
    backoff probe_backoff;
    int failures = 0;
    bool down = false;
    bool probing = false;
    time_point next_probe;
};

} // namespace parsleytrack::key_value
