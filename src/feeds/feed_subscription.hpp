#pragma once

#include "feeds/feed_message.hpp"
#include "feeds/feed_timing.hpp"
#include "units/time.hpp"

#include <algorithm>

namespace parsleytrack::feeds
{

/// What a node knows of the records of one source: whether it has all of them,
/// and up to which time the store has confirmed them to the source.
class feed_subscription
{
public:
    /// Records a message of the source.
    ///
    /// \param now When the message arrived.
    void observe(const feed_message& message, time_point now)
    {
        using kind = feed_message::kind;
        this->complete = this->complete || message.what == kind::all ||
                         message.what == kind::changes;
        if (this->complete && message.what != kind::failing &&
            message.what != kind::last_known)
        {
            const time_point confirmed =
                now - message.age.value_or(duration::zero());
            this->confirmed_time = std::max(this->confirmed_time, confirmed);
        }
    }

    /// \returns Whether this node has all records of the source and the store
    /// has confirmed them lately.
    bool is_healthy(time_point now) const
    {
        return this->complete &&
               now - this->confirmed_time <= detail::max_confirmation_age;
    }

    /// \returns The time up to which the records of the source are complete.
    time_point confirmed_at() const { return this->confirmed_time; }

private:
    bool complete = false;
    time_point confirmed_time;
};

} // namespace parsleytrack::feeds
