#pragma once

#include "units/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace parsleytrack::key_value
{

/// The queue in which a call to the store waits.
enum class call_priority
{
    /// Sent before normal calls. For calls that prevent a loss, such as that
    /// of a lease.
    urgent,
    normal
};

/// Limits the rate of a node's calls to the store: a token bucket with a
/// bounded queue.
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

    /// \param calls_per_s The rate, and the largest burst; at least 1.
    /// \param queue_limit The most normal calls that wait in the queue; up to
    /// twice as many calls wait in all when some of them are urgent.
    call_rate_limiter(int calls_per_s, std::size_t queue_limit);

    /// Requests permission to send a call.
    ///
    /// \param id Identifies the call while it is queued.
    /// \returns start: send it now, its token has been taken; wait: it is
    /// queued and next_ready() will return its id; reject: the queue is full.
    decision request(ticket id, call_priority priority, time_point now);

    /// Removes the next call from the queue if a token is available.
    ///
    /// \returns The call to send now, its token has been taken; nothing
    /// otherwise.
    std::optional<ticket> next_ready(time_point now);

    /// \returns Time until next_ready() returns a call; nothing when the queue
    /// is empty.
    std::optional<duration> wait_time(time_point now);

    /// \returns How long a call would wait if it were queued now, for
    /// Retry-After.
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
