#pragma once

#include "units/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace parsleytrack::key_value
{

/// How urgent a call to the store is.
enum class call_priority
{
    /// Keeps something that would be lost otherwise, such as a lease.
    urgent,
    normal
};

/// Spreads the calls of a node so that it stays under its rate: a token bucket
/// with a bounded queue.
class call_rate_limiter
{
public:
    using ticket = std::uint64_t;

    enum class decision
    {
        start,
        wait,
        reject
    };

    /// \param calls_per_s The rate; at least 1.
    /// \param queue_limit The most calls that wait.
    call_rate_limiter(int calls_per_s, std::size_t queue_limit);

    /// Asks for a call.
    ///
    /// \returns start: a token was taken; wait: next() will name the ticket;
    /// refuse: too many wait already.
    decision request(ticket id, call_priority priority, time_point now);

    /// \returns A waiting call that may start now; a token was taken for it.
    std::optional<ticket> next_ready(time_point now);

    /// \returns How long until next() names a call; nothing when none waits.
    std::optional<duration> wait_time(time_point now);

    /// \returns How long a call waits that is queued now, for Retry-After.
    duration queue_delay() const;

    std::size_t waiting() const
    {
        return this->urgent.size() + this->normal.size();
    }

private:
    void refill(time_point now);

    double rate_per_us;
    double capacity;
    double tokens;
    std::size_t queue_limit;
    std::optional<time_point> refilled_at;
    std::deque<ticket> urgent;
    std::deque<ticket> normal;
};

} // namespace parsleytrack::key_value
