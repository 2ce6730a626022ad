#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace parsleytrack::jobs
{

/// Decides when an item runs again after a run without success, and at which
/// replicas it doesn't, so that each failure of an item says something new.
class item_retries
{
public:
    /// Pause after a replica answered an item with an error; doubles with each
    /// of them, up to a limit that leaves an item time for several runs before
    /// it is due.
    static constexpr duration first_pause = std::chrono::milliseconds(100);
    static constexpr duration longest_pause = std::chrono::seconds(2);
    /// Pause after a run that ended without an answer. Keeps an item without a
    /// usable replica from requesting slots in a busy loop.
    static constexpr duration interruption_pause =
        std::chrono::milliseconds(30);
    /// An item waits this long for other replicas than those that it has been
    /// at, counted from its last run.
    static constexpr duration avoidance_time = std::chrono::seconds(5);
    /// The same for those that have only refused it.
    static constexpr duration refusal_time = std::chrono::seconds(1);

    /// Records that a replica answered the item with an error.
    void record_error(std::size_t item, const replica_id& replica,
                      time_point now);

    /// Records that a replica was lost during the item's run.
    void record_loss(std::size_t item, const replica_id& replica,
                     time_point now);

    /// Records that a replica did not run the item. It is avoided for a shorter
    /// time: a full replica has free slots again soon.
    void record_refusal(std::size_t item, const replica_id& replica,
                        time_point now);

    /// Records that the item's run ended without fault of a replica.
    void record_interruption(std::size_t item, time_point now);

    /// Lets an item wait, at least until a time.
    void hold(std::size_t item, time_point until);

    /// Forgets an item that has ended.
    void erase(std::size_t item) { this->items.erase(item); }

    /// \returns Whether the item may run now.
    bool may_start(std::size_t item, time_point now) const;

    /// \returns The earliest time at which an item that still pauses may run;
    /// absent if none pauses.
    std::optional<time_point> next_start(time_point now) const;

    /// \param usable The replicas that can run the item.
    /// \returns Replicas at which the item must not run. Empty if it has been
    /// at all that are usable, or has waited too long for others.
    std::set<replica_id> avoided(std::size_t item,
                                 const std::set<replica_id>& usable,
                                 time_point now) const;

private:
    struct history
    {
        /// Replicas that answered with an error, refused or were lost.
        std::set<replica_id> tried;
        duration next_pause = first_pause;
        time_point last_fault;
        time_point earliest_start = time_point::min();
    };

    std::map<std::size_t, history> items;
};

} // namespace parsleytrack::jobs
