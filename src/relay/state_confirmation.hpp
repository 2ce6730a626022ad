#pragma once

#include "units/time.hpp"

#include <algorithm>
#include <optional>

namespace parsleytrack::relay
{

/// Bounds the age of an owner's knowledge that its job is not cancelled, or
/// that the store cannot say so. Items start only while it is recent, whatever
/// notices were lost or late and however long the process stood still.
class state_confirmation
{
public:
    /// A third of the three seconds after which no item of a cancelled job may
    /// start; the rest covers the read that confirms the state, the connection
    /// and delays of the process.
    static constexpr duration max_age = std::chrono::seconds(1);
    /// How long an observed outage of the store counts. Longer than the pauses
    /// between two calls of a node during an outage, and within the same three
    /// seconds.
    static constexpr duration max_outage_age = std::chrono::milliseconds(2500);

    /// Records that the store has confirmed the job's state.
    ///
    /// \param sent When the read or commit was sent: the state is not older.
    void confirm(time_point sent)
    {
        this->confirmed_at = std::max(this->confirmed_at, std::optional(sent));
        if (this->outage_at && *this->outage_at <= sent)
        {
            this->outage_at.reset();
        }
    }

    /// Records that the store does not respond to this node. It acknowledges no
    /// cancellation of this node's callers then, and work goes on.
    ///
    /// \param observed The latest time at which a call is known to have waited
    /// in vain; when a call that failed was sent.
    void record_outage(time_point observed)
    {
        this->outage_at = std::max(this->outage_at, std::optional(observed));
    }

    /// \param send_timeout How long after its last check an item may be sent.
    /// \returns The latest time at which an item may be sent to a replica, at
    /// least the timeout from now; absent if the knowledge is too old.
    std::optional<time_point> start_limit(time_point now,
                                          duration send_timeout) const
    {
        std::optional<time_point> known_until;
        if (this->confirmed_at)
        {
            known_until = *this->confirmed_at + max_age;
        }
        if (this->outage_at)
        {
            known_until = std::max(
                known_until, std::optional(*this->outage_at + max_outage_age));
        }
        if (!known_until || now > *known_until)
        {
            return std::nullopt;
        }
        return *known_until + send_timeout;
    }

    /// \returns The age of the knowledge; absent before the first confirmation.
    std::optional<duration> age(time_point now) const
    {
        return this->confirmed_at ? std::optional(now - *this->confirmed_at)
                                  : std::nullopt;
    }

private:
    std::optional<time_point> confirmed_at;
    std::optional<time_point> outage_at;
};

} // namespace parsleytrack::relay
