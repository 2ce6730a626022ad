#include "sharing/service_order.hpp"

#include <algorithm>

namespace parsleytrack::sharing
{

service_order::service_order(const std::vector<lane>& lanes,
                             double expected_use, const priority_turns& turns,
                             bool guarantee)
    : cost(expected_use), grant_turns(turns), with_turns(guarantee)
{
    for (std::size_t index = 0; index < lanes.size(); ++index)
    {
        const lane& added = lanes[index];
        if (this->classes.empty() || this->classes.back().late != added.late ||
            this->classes.back().priority != added.priority)
        {
            this->classes.push_back({added.late, added.priority, {}, false});
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
    this->current = this->choose_class();
    lane_class& chosen = this->classes[this->current];
    if (!chosen.is_heap)
    {
        std::make_heap(chosen.entries.begin(), chosen.entries.end());
        chosen.is_heap = true;
    }
    return chosen.entries.front().lane;
}

void service_order::grant(bool has_more)
{
    this->grant_turns.record(this->classes[this->current].priority,
                             this->current != this->first);
    entry granted = this->take_first();
    if (has_more)
    {
        granted.use += this->cost;
        this->put(granted);
    }
}

void service_order::skip(bool has_more)
{
    if (!has_more)
    {
        this->take_first();
    }
}

std::size_t service_order::choose_class() const
{
    std::size_t chosen = this->first;
    if (!this->with_turns || !this->grant_turns.allows_turn())
    {
        return chosen;
    }
    for (std::size_t index = this->first + 1; index < this->classes.size();
         ++index)
    {
        const lane_class& candidate = this->classes[index];
        if (candidate.entries.empty() ||
            candidate.priority <= this->classes[this->first].priority ||
            !this->grant_turns.is_due(candidate.priority))
        {
            continue;
        }
        if (chosen == this->first ||
            this->grant_turns.last_grant(candidate.priority) <
                this->grant_turns.last_grant(this->classes[chosen].priority))
        {
            chosen = index;
        }
    }
    return chosen;
}

service_order::entry service_order::take_first()
{
    std::vector<entry>& entries = this->classes[this->current].entries;
    std::pop_heap(entries.begin(), entries.end());
    const entry taken = entries.back();
    entries.pop_back();
    return taken;
}

void service_order::put(const entry& changed)
{
    std::vector<entry>& entries = this->classes[this->current].entries;
    entries.push_back(changed);
    std::push_heap(entries.begin(), entries.end());
}

} // namespace parsleytrack::sharing
