#include "key_value/call_rate_limiter.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace parsleytrack::key_value
{

namespace
{

constexpr double microseconds_per_second = 1e6;

} // namespace

call_rate_limiter::call_rate_limiter(int calls_per_s, std::size_t limit)
    : rate_per_us(std::max(1, calls_per_s) / microseconds_per_second),
      capacity(std::max(1, calls_per_s)), tokens(this->capacity),
      queue_limit(limit)
{
}

call_rate_limiter::decision
call_rate_limiter::request(ticket id, call_priority priority, time_point now)
{
    this->refill(now);
    if (this->waiting() == 0 && this->tokens >= 1)
    {
        this->tokens -= 1;
        return decision::start;
    }
    // Urgent calls are few: their number is bounded by the leases that the
    // node holds. They may therefore use a longer queue.
    if (priority == call_priority::normal &&
        this->normal.size() >= this->queue_limit)
    {
        return decision::reject;
    }
    if (priority == call_priority::urgent &&
        this->waiting() >= 2 * this->queue_limit)
    {
        return decision::reject;
    }
    (priority == call_priority::urgent ? this->urgent : this->normal)
        .push_back(id);
    return decision::wait;
}

std::optional<call_rate_limiter::ticket>
call_rate_limiter::next_ready(time_point now)
{
    this->refill(now);
    if (this->waiting() == 0 || this->tokens < 1)
    {
        return std::nullopt;
    }
    this->tokens -= 1;
    check_invariant(this->tokens >= 0, "a call must not start without a token");
    auto& queue = this->urgent.empty() ? this->normal : this->urgent;
    const ticket id = queue.front();
    queue.pop_front();
    return id;
}

std::optional<duration> call_rate_limiter::wait_time(time_point now)
{
    this->refill(now);
    if (this->waiting() == 0)
    {
        return std::nullopt;
    }
    const double missing = std::max(0.0, 1 - this->tokens);
    return duration(
        static_cast<duration::rep>(std::ceil(missing / this->rate_per_us)));
}

duration call_rate_limiter::queue_delay() const
{
    const double calls = static_cast<double>(this->waiting()) + 1;
    return duration(static_cast<duration::rep>(calls / this->rate_per_us));
}

void call_rate_limiter::refill(time_point now)
{
    if (this->refilled_at && now > *this->refilled_at)
    {
        const duration passed = now - *this->refilled_at;
        this->tokens = std::min(
            this->capacity, this->tokens + static_cast<double>(passed.count()) *
                                               this->rate_per_us);
    }
    if (!this->refilled_at || now > *this->refilled_at)
    {
        this->refilled_at = now;
    }
}

} // namespace parsleytrack::key_value
