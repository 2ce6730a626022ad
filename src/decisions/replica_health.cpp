#include "decisions/replica_health.hpp"

#include <algorithm>

namespace parsleytrack
{

replica_health::replica_health(int limit, duration shortest, duration longest)
    : failure_limit(limit), initial_backoff(shortest), max_backoff(longest),
      backoff(shortest)
{
}

int replica_health::allowed_slots(int slots, time_point now) const
{
    return this->usable(now) ? this->allowed_slots_if_included(slots) : 0;
}

int replica_health::allowed_slots_if_included(int slots) const
{
    if (this->unresponsive)
    {
        return 0;
    }
    return this->on_trial() ? std::min(1, slots) : slots;
}

void replica_health::record_success()
{
    this->consecutive_failures = 0;
    this->backoff = this->initial_backoff;
}

void replica_health::record_failure(time_point now)
{
    this->consecutive_failures += 1;
    if (this->consecutive_failures < this->failure_limit || !this->usable(now))
    {
        return;
    }
    this->excluded_until = now + this->backoff;
    this->backoff = std::min(this->backoff * 2, this->max_backoff);
}

void replica_health::mark_unresponsive(time_point now)
{
    if (this->unresponsive)
    {
        return;
    }
    this->unresponsive = true;
    this->excluded_until =
        std::max(this->excluded_until, now + this->initial_backoff);
}

} // namespace parsleytrack
