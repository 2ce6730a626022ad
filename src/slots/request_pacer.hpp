#pragma once

#include "units/request_rate.hpp"
#include "units/time.hpp"

namespace parsleytrack::slots
{

/// Spaces requests so that no more than a rate is sent. Starts without any to
/// send, since another sender may have used up what is allowed.
class request_pacer
{
public:
    request_pacer(request_rate allowed, time_point now);

    request_rate rate() const { return this->allowed; }

    /// Changes the rate from now on.
    void set_rate(request_rate changed, time_point now);

    /// \returns How many requests may be sent now.
    int available(time_point now) const;

    /// \returns How many requests can be sent in all until a later time, if
    /// there are always some to send.
    int available_until(time_point later, time_point now) const;

    /// \returns When the last request was sent, or the pacer was made.
    time_point last_taken() const { return this->last_take; }

    /// Records that a request is sent.
    void take(time_point now);

private:
    /// Beyond one request, what may be sent at once after a pause; more would
    /// exceed the rate for a moment.
    static constexpr duration burst_time = std::chrono::milliseconds(100);

    double credit_at(time_point now) const;

    request_rate allowed;
    double credit = 0.0;
    time_point credit_time;
    time_point last_take;
};

} // namespace parsleytrack::slots
