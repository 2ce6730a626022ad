#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// Counts work that other gates have sent to a replica, after this gate took
/// the replica over. The replica's load reports lag, so the count is raised
/// only while the takeover is fresh, and afterwards only lowered.
class foreign_work
{
public:
    /// \param taken_over_at When this gate began.
    /// \param wait How long work is held without any report.
    /// \param window How long reports may raise the count.
    foreign_work(time_point taken_over_at, duration wait, duration window);

    /// Takes in a load report.
    ///
    /// \param reported Work running and waiting at the replica.
    /// \param own Work of this gate that may be counted in the report.
    /// \param now The time.
    void report(int reported, int own, time_point now);

    /// \returns Whether nothing is known yet and work should be held.
    bool unknown(time_point now) const;

    /// \returns When unknown() ends by itself.
    time_point known_at() const { return this->taken_over_at + this->wait; }

    /// \returns The work of others that runs on the replica.
    int count() const { return this->running; }

private:
    time_point taken_over_at;
    duration wait;
    duration window;
    bool reported_once = false;
    int running = 0;
};

} // namespace parsleytrack
