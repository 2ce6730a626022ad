// Which requests of a broker are served next, and which are refused.

#include "slots/slot_broker.hpp"

#include <algorithm>

namespace parsleytrack::slots
{

slot_broker::rank slot_broker::rank_of(const waiting_request& waiting,
                                       bool late)
{
    return rank{late, waiting.request.priority, waiting.request.useful_until,
                waiting.ticket};
}

void slot_broker::serve(time_point now)
{
    this->serve_online(now);
    this->refuse_unmeetable_deadlines(now);
    this->serve_batch(now);
    this->reclaim_for_waiting(now);
}

template <std::predicate Condition>
void slot_broker::serve_queue(queue& waiting,
                              const std::set<software_version>& avoided,
                              Condition may_grant, time_point now)
{
    std::set<software_version> exhausted;
    auto entry = waiting.begin();
    while (entry != waiting.end() && may_grant())
    {
        const slot_request& wanted = entry->second.request;
        const bool depends = wanted.depends_on_version(now);
        if (depends && exhausted.contains(*wanted.version))
        {
            ++entry;
            continue;
        }
        replica_state* chosen = this->choose(wanted, avoided, now);
        if (chosen != nullptr)
        {
            this->grant(entry->second, *chosen, now);
            entry = waiting.erase(entry);
            continue;
        }
        if (!wanted.is_restricted(now))
        {
            return;
        }
        if (depends && wanted.excluded.empty())
        {
            exhausted.insert(*wanted.version);
        }
        ++entry;
    }
}

void slot_broker::serve_online(time_point now)
{
    this->serve_queue(
        this->online, this->versions_waited_for(), [] { return true; }, now);
}

void slot_broker::serve_batch(time_point now)
{
    // An online request that depends on a version leaves no slot unused that it
    // could have.
    const bool online_waits = std::any_of(
        this->online.begin(), this->online.end(),
        [](const auto& entry) { return !entry.second.request.version; });
    if (online_waits)
    {
        return;
    }
    const int reserve = static_cast<int>(this->current_capacity().slots *
                                         this->options.online_reserve);
    this->serve_queue(
        this->batch, {},
        [this, reserve, now] { return this->free_slots(now) > reserve; }, now);
}

std::set<software_version> slot_broker::versions_waited_for() const
{
    std::set<software_version> versions;
    for (const auto& [order, waiting] : this->online)
    {
        if (waiting.request.version)
        {
            versions.insert(*waiting.request.version);
        }
    }
    return versions;
}

void slot_broker::refuse_unmeetable_deadlines(time_point now)
{
    std::size_t ahead = 0;
    std::map<software_version, std::size_t> ahead_at_version;
    const capacity all = this->current_capacity();
    for (auto entry = this->online.begin(); entry != this->online.end();)
    {
        const waiting_request& waiting = entry->second;
        const auto& version = waiting.request.version;
        const capacity present =
            version ? this->current_capacity(version) : all;
        std::size_t& before = version ? ahead_at_version[*version] : ahead;
        // Without any replica nothing is known of when one will be there.
        const bool keeps_waiting =
            waiting.request.wait_when_late && all.slots <= 0.0;
        if (keeps_waiting || this->is_meetable(before, waiting, present, now))
        {
            ++before;
            ahead += version ? 1 : 0;
            ++entry;
            continue;
        }
        this->refuse(waiting, this->predicted_wait(before, present));
        entry = this->online.erase(entry);
    }
}

void slot_broker::expire(time_point now)
{
    std::vector<waiting_request> late;
    for (auto entry = this->online.begin(); entry != this->online.end();)
    {
        if (entry->first.late || now <= entry->second.request.useful_until)
        {
            ++entry;
            continue;
        }
        late.push_back(entry->second);
        entry = this->online.erase(entry);
    }
    for (const waiting_request& waiting : late)
    {
        if (waiting.request.wait_when_late)
        {
            this->online.emplace(rank_of(waiting, true), waiting);
            continue;
        }
        this->refuse(waiting, this->predicted_wait(this->online.size(),
                                                   this->current_capacity()));
    }
}

} // namespace parsleytrack::slots
