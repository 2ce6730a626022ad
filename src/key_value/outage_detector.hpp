#pragma once

#include "key_value/backoff.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

namespace parsleytrack::key_value
{

/// Detects from the outcomes of calls whether the store is unreachable. During
/// an outage it allows one probe at a time, with increasing delays.
class outage_detector
{
public:
    outage_detector();

    /// Records that the store handled a call, successfully or not.
    ///
    /// \returns Whether this ends an outage.
    bool record_response();

    /// Records that a call got no usable response.
    ///
    /// \returns Whether this begins an outage.
    bool record_failure(time_point now, random_source& random);

    bool is_reachable() const { return !this->down; }

    /// \returns Whether the caller must send a probe now. No other probe is
    /// allowed until the outcome of this one is recorded.
    bool try_start_probe(time_point now);

    /// \returns Time until the next probe, also used for Retry-After.
    duration time_until_probe(time_point now) const;

private:
    backoff probe_backoff;
    int failures = 0;
    bool down = false;
    bool probing = false;
    time_point next_probe;
};

} // namespace parsleytrack::key_value
