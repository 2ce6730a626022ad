#include "relay/owner_notices.hpp"

namespace parsleytrack::relay
{

namespace
{

/// An owner that runs its job normally writes the record more often than this.
constexpr duration unchanged_before_notice = std::chrono::milliseconds(1500);
/// A notice may be lost.
constexpr duration repeat_interval = std::chrono::seconds(6);
/// Items of a cancelled job must not reach a replica for long.
constexpr duration cancellation_repeat_interval = std::chrono::seconds(1);
/// How long the owner of a cancelled job is notified again.
constexpr duration cancellation_period = std::chrono::seconds(15);

} // namespace

bool owner_notices::is_due(const jobs::job_state& state,
                           store_revision revision, time_point now)
{
    if (state.is_finished() && !state.cancelled)
    {
        return false;
    }
    const auto [found, inserted] = this->records.try_emplace(state.id);
    seen_record& record = found->second;
    if (inserted || record.revision != revision)
    {
        record.revision = revision;
        record.first_seen = now;
        record.next_notice =
            state.cancelled ? now : now + unchanged_before_notice;
    }
    record.last_seen = now;
    if (now < record.next_notice ||
        (state.cancelled && now - record.first_seen > cancellation_period))
    {
        return false;
    }
    record.next_notice = now + (state.cancelled ? cancellation_repeat_interval
                                                : repeat_interval);
    return true;
}

void owner_notices::forget_before(time_point limit)
{
    std::erase_if(this->records, [limit](const auto& entry)
                  { return entry.second.last_seen < limit; });
}

} // namespace parsleytrack::relay
