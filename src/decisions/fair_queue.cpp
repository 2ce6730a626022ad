#include "decisions/fair_queue.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack
{

void fair_queue::push(const gate_work& work)
{
    const bool added = this->owners.emplace(work.id, work).second;
    check_invariant(added, "a request waits at a gate only once");
    lane& own = this->lanes[work.workspace];
    if (own.waiting.empty())
    {
        own.served = std::max(own.served, this->virtual_time);
    }
    own.waiting.insert(work);
}

std::optional<gate_work> fair_queue::pop()
{
    return this->pop_if([](const workspace_name&) { return true; });
}

gate_work fair_queue::serve(lane_map::iterator next)
{
    next->second.served += 1;
    // A workspace that comes back begins behind the service it has had.
    this->virtual_time = next->second.served;
    return this->take(next, next->second.waiting.begin());
}

bool fair_queue::remove(work_id id)
{
    const auto found = this->owners.find(id);
    if (found == this->owners.end())
    {
        return false;
    }
    const auto owner = this->lanes.find(found->second.workspace);
    this->take(owner, owner->second.waiting.find(found->second));
    return true;
}

std::vector<gate_work> fair_queue::take_expired(time_point now)
{
    std::vector<gate_work> expired;
    for (const auto& [id, work] : this->owners)
    {
        if (work.deadline <= now)
        {
            expired.push_back(work);
        }
    }
    for (const gate_work& work : expired)
    {
        this->remove(work.id);
    }
    return expired;
}

std::optional<gate_work> fair_queue::take_from_longest()
{
    const auto longest_lane = std::max_element(
        this->lanes.begin(), this->lanes.end(),
        [](const auto& left, const auto& right)
        { return left.second.waiting.size() < right.second.waiting.size(); });
    if (longest_lane == this->lanes.end())
    {
        return std::nullopt;
    }
    return this->take(longest_lane,
                      std::prev(longest_lane->second.waiting.end()));
}

std::vector<gate_work> fair_queue::take_all()
{
    std::vector<gate_work> all;
    for (const auto& [id, work] : this->owners)
    {
        all.push_back(work);
    }
    this->owners.clear();
    this->lanes.clear();
    return all;
}

int fair_queue::size_of(const workspace_name& workspace) const
{
    const auto found = this->lanes.find(workspace);
    return found == this->lanes.end()
               ? 0
               : static_cast<int>(found->second.waiting.size());
}

int fair_queue::workspace_count() const
{
    return static_cast<int>(this->lanes.size());
}

int fair_queue::longest() const
{
    std::size_t most = 0;
    for (const auto& [workspace, entry] : this->lanes)
    {
        most = std::max(most, entry.waiting.size());
    }
    return static_cast<int>(most);
}

std::optional<time_point> fair_queue::earliest_deadline() const
{
    std::optional<time_point> earliest;
    for (const auto& [workspace, entry] : this->lanes)
    {
        const time_point first = entry.waiting.begin()->deadline;
        earliest = earliest ? std::min(*earliest, first) : first;
    }
    return earliest;
}

int fair_queue::position_of_new(const workspace_name& workspace) const
{
    // In one round each workspace is served once, so others come first with
    // at most as many requests as this workspace has, the new one included.
    const int own = this->size_of(workspace);
    int ahead = own;
    for (const auto& [name, entry] : this->lanes)
    {
        if (name != workspace)
        {
            ahead += std::min(own + 1, static_cast<int>(entry.waiting.size()));
        }
    }
    return ahead;
}

gate_work fair_queue::take(lane_map::iterator owner,
                           std::set<gate_work, by_deadline>::iterator entry)
{
    gate_work taken = *entry;
    owner->second.waiting.erase(entry);
    this->owners.erase(taken.id);
    if (owner->second.waiting.empty())
    {
        this->lanes.erase(owner);
    }
    return taken;
}

} // namespace parsleytrack
