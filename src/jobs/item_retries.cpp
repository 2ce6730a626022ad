#include "jobs/item_retries.hpp"

#include <algorithm>

namespace parsleytrack::jobs
{

void item_retries::record_error(std::size_t item, const replica_id& replica,
                                time_point now)
{
    history& known = this->items[item];
    known.tried.insert(replica);
    known.last_fault = now;
    this->hold(item, now + known.next_pause);
    known.next_pause = std::min(known.next_pause * 2, longest_pause);
}

void item_retries::record_loss(std::size_t item, const replica_id& replica,
                               time_point now)
{
    history& known = this->items[item];
    known.tried.insert(replica);
    known.last_fault = now;
    this->hold(item, now + interruption_pause);
}

void item_retries::record_refusal(std::size_t item, const replica_id& replica,
                                  time_point now)
{
    history& known = this->items[item];
    known.tried.insert(replica);
    known.last_fault =
        std::max(known.last_fault, now + refusal_time - avoidance_time);
    this->hold(item, now + interruption_pause);
}

void item_retries::record_interruption(std::size_t item, time_point now)
{
    this->hold(item, now + interruption_pause);
}

void item_retries::hold(std::size_t item, time_point until)
{
    history& known = this->items[item];
    known.earliest_start = std::max(known.earliest_start, until);
}

bool item_retries::may_start(std::size_t item, time_point now) const
{
    const auto found = this->items.find(item);
    return found == this->items.end() || now >= found->second.earliest_start;
}

std::optional<time_point> item_retries::next_start(time_point now) const
{
    std::optional<time_point> next;
    for (const auto& [item, known] : this->items)
    {
        if (known.earliest_start > now)
        {
            next = std::min(next.value_or(known.earliest_start),
                            known.earliest_start);
        }
    }
    return next;
}

std::set<replica_id> item_retries::avoided(std::size_t item,
                                           const std::set<replica_id>& usable,
                                           time_point now) const
{
    const auto found = this->items.find(item);
    if (found == this->items.end() || found->second.tried.empty() ||
        now - found->second.last_fault >= avoidance_time)
    {
        return {};
    }
    const std::set<replica_id>& tried = found->second.tried;
    const bool has_other = std::any_of(usable.begin(), usable.end(),
                                       [&tried](const replica_id& replica)
                                       { return !tried.contains(replica); });
    return has_other ? tried : std::set<replica_id>{};
}

} // namespace parsleytrack::jobs
