// Which slots batch work gives back for online requests that wait.

#include "slots/slot_broker.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::slots
{

namespace
{

using need = std::optional<software_version>;

/// Removes the need that a slot at a version meets: one for this version, or
/// else one for any.
void remove_met_need(std::vector<need>& needs, const need& version)
{
    auto met = std::find(needs.begin(), needs.end(), version);
    if (met == needs.end())
    {
        met = std::find(needs.begin(), needs.end(), std::nullopt);
    }
    if (met != needs.end())
    {
        needs.erase(met);
    }
}

} // namespace

std::optional<software_version>
slot_broker::version_of(const held_slot& slot) const
{
    const auto replica = this->replicas.find(slot.replica);
    return replica == this->replicas.end()
               ? std::nullopt
               : std::optional(replica->second.replica.version);
}

std::vector<std::optional<software_version>> slot_broker::unmet_needs() const
{
    std::vector<need> needs;
    for (auto entry = this->online.begin();
         entry != this->online.end() && !entry->first.late; ++entry)
    {
        needs.push_back(entry->second.request.version);
    }
    if (this->pending_reclaims == 0)
    {
        return needs;
    }
    for (const auto& [ticket, slot] : this->held)
    {
        if (slot.reclaimed && !needs.empty())
        {
            remove_met_need(needs, this->version_of(slot));
        }
    }
    return needs;
}

void slot_broker::reclaim_for_waiting(time_point now)
{
    if (this->online.empty() || this->batch_held <= this->pending_reclaims)
    {
        return;
    }
    std::vector<need> needs = this->unmet_needs();
    if (needs.empty())
    {
        return;
    }
    std::vector<std::pair<time_point, slot_ticket>> candidates;
    for (const auto& [ticket, slot] : this->held)
    {
        if (slot.reclaimed || slot.request.kind != work_class::batch)
        {
            continue;
        }
        const auto replica = this->replicas.find(slot.replica);
        if (replica == this->replicas.end() ||
            replica->second.takes_requests(now))
        {
            candidates.emplace_back(slot.request.useful_until, ticket);
        }
    }
    // Reclaim from the work that is due last, as a delay affects it least.
    std::sort(candidates.rbegin(), candidates.rend());
    // Those that depend on a version have fewer slots to choose from.
    std::stable_partition(needs.begin(), needs.end(),
                          [](const need& version)
                          { return version.has_value(); });
    for (const need& version : needs)
    {
        const auto chosen = std::find_if(
            candidates.begin(), candidates.end(),
            [this, &version](const auto& candidate)
            {
                const held_slot& slot = this->held.at(candidate.second);
                return !version ||
                       (this->version_of(slot) == version &&
                        !this->doubtful_replicas.contains(slot.replica));
            });
        if (chosen == candidates.end())
        {
            continue;
        }
        const slot_ticket ticket = chosen->second;
        candidates.erase(chosen);
        this->held.at(ticket).reclaimed = true;
        ++this->pending_reclaims;
        this->commands.push_back(
            slot_command{ticket,
                         slot_decision::reclaimed,
                         {},
                         {},
                         0,
                         static_cast<int>(this->online.size())});
    }
}

} // namespace parsleytrack::slots
