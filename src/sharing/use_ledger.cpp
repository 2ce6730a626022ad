#include "sharing/use_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace parsleytrack::sharing
{

namespace
{

/// Slot seconds or requests below which an account is forgotten.
constexpr double negligible = 0.001;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

use_ledger::use_ledger(duration initial_hold, double hold_weight)
    : mean_hold(seconds(initial_hold)), weight(hold_weight)
{
}

void use_ledger::take(const workspace_name& workspace, int priority,
                      time_point now)
{
    account& known = this->find_or_add(workspace, now);
    ++known.held;
    known.priority = priority;
    known.excess.add(-seconds(use_memory), now);
}

void use_ledger::end(const workspace_name& workspace, duration held_for,
                     time_point now)
{
    account& known = this->find_or_add(workspace, now);
    --known.held;
    known.excess.add(seconds(use_memory), now);
    this->mean_hold = this->mean_hold * (1.0 - this->weight) +
                      seconds(held_for) * this->weight;
}

void use_ledger::refuse(const workspace_name& workspace, time_point now)
{
    this->find_or_add(workspace, now).refused.add(1.0, now);
}

double use_ledger::use_of(const workspace_name& workspace, time_point now) const
{
    const auto found = this->accounts.find(workspace);
    return found == this->accounts.end()
               ? 0.0
               : found->second.recent_time(now) +
                     found->second.held * this->mean_hold;
}

void use_ledger::refresh_claims(time_point now)
{
    if (now < this->next_claims)
    {
        return;
    }
    this->next_claims = now + claim_interval;
    this->claims.clear();
    for (const auto& [workspace, known] : this->accounts)
    {
        const double recent = known.recent_time(now);
        const double use = recent + known.held * this->mean_hold;
        const double slots = recent / seconds(use_memory);
        this->claims[known.priority].push_back({use, slots, slots * use});
    }
    for (auto& [priority, list] : this->claims)
    {
        std::sort(list.begin(), list.end(),
                  [](const claim& left, const claim& right)
                  { return left.use < right.use; });
        for (std::size_t index = 1; index < list.size(); ++index)
        {
            list[index].slots += list[index - 1].slots;
            list[index].slots_times_use += list[index - 1].slots_times_use;
        }
    }
}

double use_ledger::claimed_before(int priority, double use) const
{
    double slots = 0.0;
    for (const auto& [claiming, list] : this->claims)
    {
        if (claiming > priority)
        {
            break;
        }
        slots +=
            claiming < priority ? list.back().slots : claimed_before(list, use);
    }
    return slots;
}

bool use_ledger::has_more_urgent(int priority) const
{
    return !this->claims.empty() && this->claims.begin()->first < priority;
}

double use_ledger::claimed_before(const std::vector<claim>& ascending,
                                  double use)
{
    const auto end = std::lower_bound(ascending.begin(), ascending.end(), use,
                                      [](const claim& entry, double limit)
                                      { return entry.use < limit; });
    if (end == ascending.begin())
    {
        return 0.0;
    }
    // A workspace with little less use goes first only until its use is equal,
    // so its slots count by the relative difference.
    const claim& sums = *std::prev(end);
    return sums.slots - sums.slots_times_use / use;
}

double use_ledger::returning(const workspace_name& workspace,
                             time_point now) const
{
    const auto found = this->accounts.find(workspace);
    return found == this->accounts.end() ? 0.0 : found->second.refused.at(now);
}

bool use_ledger::has_workspaces() const
{
    const std::size_t unnamed =
        this->accounts.empty() ? 0 : this->accounts.count(workspace_name());
    return this->accounts.size() > unnamed;
}

std::vector<workspace_use> use_ledger::largest(std::size_t count,
                                               time_point now) const
{
    if (!this->has_workspaces())
    {
        return {};
    }
    std::vector<workspace_use> list;
    for (const auto& [workspace, known] : this->accounts)
    {
        list.push_back({workspace, known.held,
                        known.recent_time(now) / seconds(use_memory)});
    }
    const auto end = list.begin() +
                     static_cast<std::ptrdiff_t>(std::min(count, list.size()));
    std::partial_sort(
        list.begin(), end, list.end(),
        [](const workspace_use& left, const workspace_use& right)
        {
            return std::tie(right.recent, right.held, left.workspace) <
                   std::tie(left.recent, left.held, right.workspace);
        });
    list.erase(end, list.end());
    return list;
}

double use_ledger::account::recent_time(time_point now) const
{
    return std::max(0.0,
                    this->held * seconds(use_memory) + this->excess.at(now));
}

bool use_ledger::account::is_idle(time_point now) const
{
    return this->held == 0 && this->recent_time(now) < negligible &&
           this->refused.at(now) < negligible;
}

use_ledger::account& use_ledger::find_or_add(const workspace_name& workspace,
                                             time_point now)
{
    this->forget_idle(now);
    return this->accounts[workspace];
}

void use_ledger::forget_idle(time_point now)
{
    if (now < this->next_cleanup)
    {
        return;
    }
    this->next_cleanup = now + cleanup_interval;
    std::erase_if(this->accounts, [now](const auto& entry)
                  { return entry.second.is_idle(now); });
}

} // namespace parsleytrack::sharing
