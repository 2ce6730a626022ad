// Which requests of a broker are served next, and which are refused.

#include "slots/slot_broker.hpp"

#include <algorithm>

namespace parsleytrack::slots
{

slot_broker::rank slot_broker::rank_of(const waiting_request& waiting,
                                       bool late)
{
    return rank{late, waiting.request.priority, waiting.request.workspace,
                waiting.request.useful_until, waiting.ticket};
}

void slot_broker::serve(time_point now)
{
    this->serve_online(now);
    this->refuse_unmeetable_deadlines(now);
    this->serve_batch(now);
    this->reclaim_for_waiting(now);
    this->record_full(now);
}

template <std::predicate Condition>
void slot_broker::serve_queue(work_class kind,
                              const std::set<software_version>& avoided,
                              Condition may_grant, time_point now)
{
    queue& waiting = this->queue_of(kind);
    if (waiting.empty() || !may_grant())
    {
        return;
    }
    if (this->free_slots(now) <= 0 && !this->ignores_exclusion(kind, now))
    {
        return;
    }
    sharing_state& state = this->sharing_of(kind);
    service_pass pass(waiting, state, now);
    std::set<software_version> exhausted;
    for (auto entry = pass.next(); entry != waiting.end() && may_grant();
         entry = pass.next())
    {
        const slot_request& wanted = entry->second.request;
        const bool depends = wanted.depends_on_version(now);
        if (depends && exhausted.contains(*wanted.version))
        {
            pass.skip(false);
            continue;
        }
        replica_state* chosen = this->choose(wanted, avoided, now);
        if (chosen != nullptr)
        {
            this->grant(entry->second, *chosen, now);
            pass.grant(true);
            continue;
        }
        if (!this->is_restricted(wanted, now))
        {
            break;
        }
        if (depends && wanted.excluded.empty())
        {
            exhausted.insert(*wanted.version);
        }
        pass.skip(false);
    }
    state.turns = pass.turns();
}

void slot_broker::serve_online(time_point now)
{
    this->serve_queue(
        work_class::online, this->versions_waited_for(), [] { return true; },
        now);
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
    const int reserve = this->batch_reserve();
    this->serve_queue(
        work_class::batch, {},
        [this, reserve, now] { return this->free_slots(now) > reserve; }, now);
}

int slot_broker::batch_reserve() const
{
    return static_cast<int>(this->current_capacity().slots *
                            this->options.online_reserve);
}

void slot_broker::record_full(time_point now)
{
    if (this->online.empty() && this->batch.empty())
    {
        return;
    }
    const int free = this->free_slots(now);
    if (free <= 0)
    {
        this->online_full_at = now;
    }
    if (!this->online.empty() || free <= this->batch_reserve())
    {
        this->batch_full_at = now;
    }
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
    if (this->online.empty())
    {
        return;
    }
    std::size_t ahead = 0;
    std::map<software_version, std::size_t> ahead_at_version;
    const capacity all = this->current_capacity();
    this->online_sharing.use.refresh_claims(now);
    // The place in the order of service decides, not that of arrival.
    service_pass pass(this->online, this->online_sharing, now);
    for (auto entry = pass.next(); entry != this->online.end();
         entry = pass.next())
    {
        waiting_request& waiting = entry->second;
        const auto& version = waiting.request.version;
        const capacity present =
            version ? this->current_capacity(version) : all;
        const bool shared = pass.is_shared();
        const capacity left = present.left_by(pass.claimed_share(all));
        std::size_t& before = version ? ahead_at_version[*version] : ahead;
        // Without any replica nothing is known of when one will be there.
        const bool keeps_waiting =
            waiting.request.wait_when_late && all.slots <= 0.0;
        const auto by_turn = pass.place_by_turn();
        if (keeps_waiting ||
            this->is_meetable(before, waiting, left, shared, now) ||
            (by_turn &&
             this->is_meetable(*by_turn, waiting, present, shared, now)))
        {
            waiting.accepted = true;
            ++before;
            ahead += version ? 1 : 0;
            pass.grant(false);
            continue;
        }
        this->refuse(waiting, before, left, now);
        pass.skip(true);
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
        this->refuse(waiting, this->online.size(), this->current_capacity(),
                     now);
    }
}

} // namespace parsleytrack::slots
