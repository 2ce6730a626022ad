#include "sharing/service_order.hpp"

#include <algorithm>

namespace parsleytrack::sharing
{

service_order::service_order(const std::vector<lane>& lanes,
                             double expected_use, const priority_turns& turns,
                             bool is_shared)
    : cost(expected_use), grant_turns(turns), shared(is_shared)
{
    for (std::size_t index = 0; index < lanes.size(); ++index)
    {
        const lane& added = lanes[index];
        if (this->classes.empty() || this->classes.back().late != added.late ||
            this->classes.back().priority != added.priority)
        {
            this->classes.push_back({added.late, added.priority, {}, false});
        }
        if (this->shared && added.after)
        {
            this->late_lanes.emplace(*added.after, index);
            continue;
        }
        this->classes.back().entries.push_back({added.use, index});
    }
}

std::optional<std::size_t> service_order::next()
{
    while (this->first < this->classes.size() &&
           this->classes[this->first].entries.empty())
    {
        ++this->first;
    }
    if (this->first == this->classes.size())
    {
        return std::nullopt;
    }
    const auto by_turn = this->class_by_turn();
    this->is_turn = by_turn.has_value();
    this->current = by_turn ? *by_turn : this->class_by_use();
    return this->first_of(this->classes[this->current]).lane;
}

void service_order::grant(bool has_more)
{
    lane_class& served = this->classes[this->current];
    this->grant_turns.record(served.priority, this->is_turn);
    entry granted = this->take_first();
    granted.use += this->cost;
    if (has_more)
    {
        put(served, granted);
        return;
    }
    this->release_late(granted);
}

void service_order::skip(bool has_more)
{
    if (!has_more)
    {
        this->release_late(this->take_first());
    }
}

std::optional<std::size_t> service_order::class_by_turn() const
{
    if (!this->shared || !this->grant_turns.allows_turn())
    {
        return std::nullopt;
    }
    std::optional<std::size_t> chosen;
    for (std::size_t index = this->first + 1; index < this->classes.size();
         ++index)
    {
        const lane_class& candidate = this->classes[index];
        if (candidate.entries.empty() ||
            candidate.priority == this->classes[this->first].priority ||
            !this->grant_turns.is_due(candidate.priority))
        {
            continue;
        }
        if (!chosen ||
            this->grant_turns.last_grant(candidate.priority) <
                this->grant_turns.last_grant(this->classes[*chosen].priority))
        {
            chosen = index;
        }
    }
    return chosen;
}

std::size_t service_order::class_by_use()
{
    lane_class& on_time = this->classes[this->first];
    if (!this->shared || on_time.late)
    {
        return this->first;
    }
    for (std::size_t index = this->first + 1; index < this->classes.size();
         ++index)
    {
        lane_class& other = this->classes[index];
        if (other.late && other.priority == on_time.priority)
        {
            const bool is_late_first =
                !other.entries.empty() &&
                this->first_of(other).use < this->first_of(on_time).use;
            return is_late_first ? index : this->first;
        }
    }
    return this->first;
}

const service_order::entry& service_order::first_of(lane_class& chosen)
{
    if (!chosen.is_heap)
    {
        std::make_heap(chosen.entries.begin(), chosen.entries.end());
        chosen.is_heap = true;
    }
    return chosen.entries.front();
}

void service_order::release_late(const entry& visited)
{
    const auto following = this->late_lanes.find(visited.lane);
    if (following == this->late_lanes.end())
    {
        return;
    }
    const int priority = this->classes[this->current].priority;
    const auto target = std::find_if(this->classes.begin(), this->classes.end(),
                                     [priority](const lane_class& candidate) {
                                         return candidate.late &&
                                                candidate.priority == priority;
                                     });
    put(*target, {visited.use, following->second});
}

service_order::entry service_order::take_first()
{
    std::vector<entry>& entries = this->classes[this->current].entries;
    std::pop_heap(entries.begin(), entries.end());
    const entry taken = entries.back();
    entries.pop_back();
    return taken;
}

void service_order::put(lane_class& target, const entry& added)
{
    target.entries.push_back(added);
    if (target.is_heap)
    {
        std::push_heap(target.entries.begin(), target.entries.end());
    }
}

} // namespace parsleytrack::sharing
