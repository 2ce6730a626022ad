#include "routing/trait_quarantine.hpp"

#include <algorithm>

namespace parsleytrack::routing
{

std::vector<trait_verdict>
trait_quarantine::blocked_among(const std::vector<request_trait>& traits) const
{
    std::vector<trait_verdict> blocked;
    for (const request_trait& trait : traits)
    {
        const auto found = this->verdicts.find(trait);
        if (found != this->verdicts.end() && found->second.blocked)
        {
            blocked.push_back(found->second);
        }
    }
    return blocked;
}

const trait_verdict& trait_quarantine::block(const request_trait& trait,
                                             time_point now)
{
    trait_verdict next;
    next.trait = trait;
    next.hold = first_hold;
    const auto known = this->verdicts.find(trait);
    if (known != this->verdicts.end())
    {
        next.revision = known->second.revision + 1;
        if (known->second.blocked)
        {
            next.hold = known->second.hold * 2;
            if (next.hold >= first_hold * (1 << max_failed_trials))
            {
                next.hold = longest_hold;
            }
        }
    }
    next.trial_at = now + next.hold;
    this->verdicts[trait] = next;
    this->drop_excess(trait);
    return this->verdicts[trait];
}

const trait_verdict* trait_quarantine::clear(const request_trait& trait)
{
    const auto known = this->verdicts.find(trait);
    if (known == this->verdicts.end() || !known->second.blocked)
    {
        return nullptr;
    }
    known->second.blocked = false;
    ++known->second.revision;
    return &known->second;
}

bool trait_quarantine::merge(const trait_verdict& received)
{
    const auto known = this->verdicts.find(received.trait);
    if (known != this->verdicts.end() &&
        known->second.revision >= received.revision)
    {
        return false;
    }
    this->verdicts[received.trait] = received;
    this->drop_excess(received.trait);
    return true;
}

void trait_quarantine::drop_excess(const request_trait& newest)
{
    if (this->verdicts.size() <= max_verdicts)
    {
        return;
    }
    auto oldest = this->verdicts.end();
    for (auto entry = this->verdicts.begin(); entry != this->verdicts.end();
         ++entry)
    {
        const bool is_older = oldest == this->verdicts.end() ||
                              entry->second.trial_at < oldest->second.trial_at;
        if (entry->first != newest && is_older)
        {
            oldest = entry;
        }
    }
    this->verdicts.erase(oldest);
}

std::vector<trait_verdict> trait_quarantine::all() const
{
    std::vector<trait_verdict> list;
    for (const auto& [trait, verdict] : this->verdicts)
    {
        list.push_back(verdict);
    }
    return list;
}

} // namespace parsleytrack::routing
