#pragma once

#include "units/time.hpp"

#include <algorithm>
#include <optional>

namespace parsleytrack::relay
{

/// Bounds the age of an owner's knowledge that its job is not cancelled. Items
/// start only while it is recent, whatever notices were lost or late.
class state_confirmation
{
public:
    /// A third of the three seconds after which no item of a cancelled job may
    /// start; the rest covers the read that confirms the state, the connection
    /// and delays of the process.
    static constexpr duration max_age = std::chrono::seconds(1);

    /// Records that the store has confirmed the job's state.
    ///
    /// \param sent When the read or commit was sent: the state is not older.
    void confirm(time_point sent)
    {
        this->confirmed_at = std::max(this->confirmed_at, std::optional(sent));
    }

    /// \param store_reachable During an outage the store acknowledges no
    /// cancellation of this node's callers, and work goes on.
    /// \returns Whether an item may be sent to a replica now.
    bool allows_start(time_point now, bool store_reachable) const
    {
        return !store_reachable ||
               (this->confirmed_at && now - *this->confirmed_at <= max_age);
    }

    /// \returns The age of the knowledge; absent before the first confirmation.
    std::optional<duration> age(time_point now) const
    {
        return this->confirmed_at ? std::optional(now - *this->confirmed_at)
                                  : std::nullopt;
    }

private:
    std::optional<time_point> confirmed_at;
};

} // namespace parsleytrack::relay
