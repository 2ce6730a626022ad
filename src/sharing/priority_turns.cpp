#include "sharing/priority_turns.hpp"

#include <algorithm>

namespace parsleytrack::sharing
{

namespace
{

/// Other nodes choose the priorities, so their number is bounded here.
constexpr std::size_t max_priorities = 64;

} // namespace

void priority_turns::record(int priority, bool by_turn)
{
    ++this->grants;
    if (by_turn)
    {
        this->last_turn = this->grants;
    }
    for (auto& [known, grant] : this->last_grants)
    {
        if (known == priority)
        {
            grant = this->grants;
            return;
        }
    }
    if (this->last_grants.size() >= max_priorities)
    {
        this->forget_overdue();
    }
    this->last_grants.emplace_back(priority, this->grants);
}

std::uint64_t priority_turns::grants_before_turn(int priority) const
{
    const std::uint64_t since = this->grants + 1 - this->last_grant(priority);
    return since < interval ? interval - since : 0;
}

std::uint64_t priority_turns::last_grant(int priority) const
{
    const auto found = std::find_if(
        this->last_grants.begin(), this->last_grants.end(),
        [priority](const auto& entry) { return entry.first == priority; });
    return found == this->last_grants.end() ? 0 : found->second;
}

void priority_turns::forget_overdue()
{
    // A priority that is not known is due as well.
    std::erase_if(this->last_grants, [this](const auto& entry)
                  { return this->grants - entry.second >= interval; });
}

} // namespace parsleytrack::sharing
