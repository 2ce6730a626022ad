#include "decisions/load_budget.hpp"

#include "decisions/rendezvous.hpp"
#include "units/invariant.hpp"

#include <string>

namespace parsleytrack
{

void load_budget::note_store(bool is_reachable,
                             const std::set<int>& home_slots_now,
                             time_point now)
{
    if (is_reachable)
    {
        // Frozen during an outage: nodes that lose sight of each other then
        // do not both think that a slot is theirs.
        this->home = home_slots_now;
        this->ever_reached = true;
    }
    if (is_reachable != this->reachable)
    {
        this->had_outage = this->had_outage || !is_reachable;
        this->reachable = is_reachable;
        this->changed_at = now;
    }
}

void load_budget::hold(int slot, time_point valid_until)
{
    this->slots[slot].valid_until = valid_until;
}

void load_budget::drop(int slot)
{
    const auto found = this->slots.find(slot);
    if (found == this->slots.end())
    {
        return;
    }
    if (found->second.user || found->second.used_until)
    {
        found->second.valid_until.reset();
        return;
    }
    this->slots.erase(found);
}

bool load_budget::can_start(time_point now) const
{
    return this->startable(now).has_value();
}

bool load_budget::start(const replica_id& replica, time_point now)
{
    const auto slot = this->startable(now);
    if (!slot)
    {
        return false;
    }
    slot_state& state = this->slots[*slot];
    check_invariant(is_free(state, now), "a slot has one load at a time");
    if (state.valid_until && *state.valid_until < now)
    {
        state.valid_until.reset();
    }
    check_invariant(!state.valid_until ||
                        *state.valid_until >= now + longest_load,
                    "a slot is held for the longest load");
    state.user = replica;
    state.used_until = now + longest_load;
    return true;
}

void load_budget::finish(const replica_id& replica)
{
    for (auto slot = this->slots.begin(); slot != this->slots.end(); ++slot)
    {
        if (slot->second.user != replica)
        {
            continue;
        }
        slot->second.user.reset();
        slot->second.used_until.reset();
        if (!slot->second.valid_until)
        {
            this->slots.erase(slot);
        }
        return;
    }
}

void load_budget::abandon(const replica_id& replica)
{
    for (auto& [slot, state] : this->slots)
    {
        if (state.user == replica)
        {
            state.user.reset();
        }
    }
}

bool load_budget::may_take(time_point now) const
{
    return this->reachable &&
           (!this->had_outage || now - this->changed_at >= grace_after_outage);
}

std::vector<int> load_budget::unused(time_point now) const
{
    std::vector<int> found;
    for (const auto& [slot, state] : this->slots)
    {
        if (state.valid_until && is_free(state, now))
        {
            found.push_back(slot);
        }
    }
    return found;
}

std::vector<int> load_budget::unregistered() const
{
    std::vector<int> found;
    for (const auto& [slot, state] : this->slots)
    {
        if (!state.valid_until && state.user)
        {
            found.push_back(slot);
        }
    }
    return found;
}

std::size_t load_budget::active(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [slot, state] : this->slots)
    {
        count += is_free(state, now) ? 0 : 1;
    }
    return count;
}

std::vector<int> load_budget::held() const
{
    std::vector<int> found;
    for (const auto& [slot, state] : this->slots)
    {
        if (state.valid_until)
        {
            found.push_back(slot);
        }
    }
    return found;
}

std::optional<int> load_budget::startable(time_point now) const
{
    for (const auto& [slot, state] : this->slots)
    {
        if (state.valid_until && is_free(state, now) &&
            *state.valid_until >= now + longest_load)
        {
            return slot;
        }
    }
    if (!this->home_slots_usable(now))
    {
        return std::nullopt;
    }
    for (const int slot : this->home)
    {
        const auto found = this->slots.find(slot);
        if (found == this->slots.end())
        {
            return slot;
        }
        const bool lapsed =
            !found->second.valid_until || *found->second.valid_until < now;
        if (lapsed && is_free(found->second, now))
        {
            return slot;
        }
    }
    return std::nullopt;
}

bool load_budget::home_slots_usable(time_point now) const
{
    return !this->reachable && this->ever_reached &&
           now - this->changed_at >= slot_lifetime;
}

bool load_budget::is_free(const slot_state& slot, time_point now)
{
    if (slot.user)
    {
        return false;
    }
    return !slot.used_until || *slot.used_until < now;
}

std::set<int> home_slots(int slot_count, const std::vector<std::string>& nodes,
                         const std::string& own)
{
    std::set<int> mine;
    for (int slot = 0; slot < slot_count; ++slot)
    {
        const auto best =
            rendezvous_rank(nodes, "slot-" + std::to_string(slot), 1);
        if (!best.empty() && nodes[best.front()] == own)
        {
            mine.insert(slot);
        }
    }
    return mine;
}

} // namespace parsleytrack
