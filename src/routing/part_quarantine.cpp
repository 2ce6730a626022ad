#include "routing/part_quarantine.hpp"

#include <algorithm>

namespace parsleytrack::routing
{

std::vector<part_verdict>
part_quarantine::blocked_among(const std::vector<prompt_part_id>& parts) const
{
    std::vector<part_verdict> blocked;
    for (const prompt_part_id& part : parts)
    {
        const auto found = this->verdicts.find(part);
        if (found != this->verdicts.end() && found->second.blocked)
        {
            blocked.push_back(found->second);
        }
    }
    return blocked;
}

const part_verdict& part_quarantine::block(const prompt_part_id& part,
                                           time_point now)
{
    part_verdict next;
    next.part = part;
    next.hold = first_hold;
    const auto known = this->verdicts.find(part);
    if (known != this->verdicts.end())
    {
        next.revision = known->second.revision + 1;
        if (known->second.blocked)
        {
            next.hold = std::min(longest_hold, known->second.hold * 2);
        }
    }
    next.trial_at = now + next.hold;
    this->verdicts[part] = next;
    this->drop_excess(part);
    return this->verdicts[part];
}

const part_verdict* part_quarantine::clear(const prompt_part_id& part)
{
    const auto known = this->verdicts.find(part);
    if (known == this->verdicts.end() || !known->second.blocked)
    {
        return nullptr;
    }
    known->second.blocked = false;
    ++known->second.revision;
    return &known->second;
}

bool part_quarantine::merge(const part_verdict& received)
{
    const auto known = this->verdicts.find(received.part);
    if (known != this->verdicts.end() &&
        known->second.revision >= received.revision)
    {
        return false;
    }
    this->verdicts[received.part] = received;
    this->drop_excess(received.part);
    return true;
}

void part_quarantine::drop_excess(const prompt_part_id& newest)
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

std::vector<part_verdict> part_quarantine::all() const
{
    std::vector<part_verdict> list;
    for (const auto& [part, verdict] : this->verdicts)
    {
        list.push_back(verdict);
    }
    return list;
}

} // namespace parsleytrack::routing
