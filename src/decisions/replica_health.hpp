#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// Circuit breaker for one replica: excludes it after consecutive failures,
/// then retries it with one request at a time. An unresponsive replica gets no
/// request until it has sent something, since a request sent to probe it would
/// miss its deadline.
class replica_health
{
public:
    /// \param failure_limit Consecutive failures that exclude the replica.
    /// \param initial_backoff How long the replica is excluded the first time.
    /// \param max_backoff Upper bound of the backoff, which doubles each time.
    replica_health(int failure_limit, duration initial_backoff,
                   duration max_backoff);

    /// \param slots The replica's slots.
    /// \returns How many requests may run on the replica at the same time.
    int allowed_slots(int slots, time_point now) const;

    /// \returns The same, also while the replica is excluded for its failures.
    int allowed_slots_if_included(int slots) const;

    /// \returns Whether no request has succeeded yet since the failures; until
    /// one does, the replica gets one request at a time.
    bool on_trial() const
    {
        return this->consecutive_failures >= this->failure_limit;
    }

    /// \returns Whether the replica may get requests.
    bool usable(time_point now) const
    {
        return !this->unresponsive && now >= this->excluded_until;
    }

    /// \returns Whether the replica is presumed dead or frozen.
    bool is_unresponsive() const { return this->unresponsive; }

    /// \returns When the replica is retried; in the past when it is usable.
    time_point retry_at() const { return this->excluded_until; }

    void record_success();
    void record_failure(time_point now);

    /// The replica did not respond in time.
    void mark_unresponsive(time_point now);

    /// Called when anything has been received from the replica.
    void mark_responsive() { this->unresponsive = false; }

private:
    int failure_limit;
    duration initial_backoff;
    duration max_backoff;
    duration backoff;
    int consecutive_failures = 0;
    bool unresponsive = false;
    time_point excluded_until = time_point::min();
};

} // namespace parsleytrack
