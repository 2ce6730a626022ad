#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// Leaves a replica alone after failures in a row, then tries it again with
/// one request at a time. A replica that is silent gets no request until it has
/// given a sign of life, since each request that tried it would be late.
class replica_health
{
public:
    /// \param failure_limit Failures in a row that are too many.
    /// \param initial_backoff How long the replica is left alone at first.
    /// \param max_backoff Bound of the pause, which doubles each time.
    replica_health(int failure_limit, duration initial_backoff,
                   duration max_backoff);

    /// \returns How much work may run on the replica at the same time.
    ///
    /// \param slots The replica's slots.
    /// \param now The time.
    int allowed_slots(int slots, time_point now) const;

    /// \returns Whether the replica has yet to show that it has recovered; it
    /// gets one piece of work at a time until then.
    bool on_trial() const
    {
        return this->consecutive_failures >= this->failure_limit;
    }

    /// \returns Whether the replica is not being left alone.
    bool usable(time_point now) const
    {
        return !this->unresponsive && now >= this->excluded_until;
    }

    /// \returns Whether the replica is held to be dead or frozen.
    bool is_unresponsive() const { return this->unresponsive; }

    /// \returns When the replica is tried again; in the past when it is usable.
    time_point retry_at() const { return this->excluded_until; }

    void record_success();
    void record_failure(time_point now);

    /// The replica did not answer in time.
    void mark_unresponsive(time_point now);

    /// Anything came from the replica.
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
