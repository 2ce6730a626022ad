#pragma once

#include "units/time.hpp"

namespace parsleytrack::relay
{

/// Measures by regular checks how long a response has been awaited while this
/// process ran. What it stood still for does not count, because the response
/// may have waited unread.
class running_wait
{
public:
    /// Interval at which check() is to be called.
    static constexpr duration check_interval = std::chrono::milliseconds(100);

    /// \param max_wait The wait after which a response is overdue.
    explicit running_wait(duration max_wait) : limit(max_wait) {}

    void start(time_point now)
    {
        this->last_check = now;
        this->waited = duration::zero();
    }

    /// \returns Whether the response is overdue.
    bool check(time_point now)
    {
        const duration passed = now - this->last_check;
        this->last_check = now;
        this->waited =
            passed > max_delay ? duration::zero() : this->waited + passed;
        return this->waited >= this->limit;
    }

private:
    /// A check that is later than this shows that the process stood still.
    static constexpr duration max_delay = 3 * check_interval;

    duration limit;
    time_point last_check;
    duration waited = duration::zero();
};

} // namespace parsleytrack::relay
