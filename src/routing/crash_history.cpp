#include "routing/crash_history.hpp"

#include <algorithm>

namespace parsleytrack::routing
{

void crash_history::add_report(const crash_report& report)
{
    const bool is_known =
        std::any_of(this->reports.begin(), this->reports.end(),
                    [&report](const crash_report& known)
                    {
                        return known.request == report.request &&
                               known.replica_process == report.replica_process;
                    });
    if (is_known)
    {
        return;
    }
    this->reports.push_back(report);
    if (this->reports.size() > max_reports)
    {
        this->reports.pop_front();
    }
}

void crash_history::record_survival(const std::vector<request_trait>& traits,
                                    time_point when)
{
    for (const request_trait& trait : traits)
    {
        const auto known = this->survival_index.find(trait);
        if (known != this->survival_index.end())
        {
            known->second->second = std::max(known->second->second, when);
            this->survivals.splice(this->survivals.begin(), this->survivals,
                                   known->second);
            continue;
        }
        this->survivals.emplace_front(trait, when);
        this->survival_index[trait] = this->survivals.begin();
        if (this->survivals.size() > max_survived_traits)
        {
            this->survival_index.erase(this->survivals.back().first);
            this->survivals.pop_back();
        }
    }
}

std::vector<crash_report>
crash_history::reports_with(const std::vector<request_trait>& traits,
                            time_point now) const
{
    std::vector<crash_report> found;
    for (const crash_report& report : this->reports)
    {
        const bool has_part = std::any_of(
            traits.begin(), traits.end(),
            [&report](const request_trait& trait)
            {
                return std::find(report.traits.begin(), report.traits.end(),
                                 trait) != report.traits.end();
            });
        if (has_part && now - report.at < report_lifetime)
        {
            found.push_back(report);
        }
    }
    return found;
}

std::optional<time_point>
crash_history::last_survival(const request_trait& trait) const
{
    const auto found = this->survival_index.find(trait);
    return found == this->survival_index.end()
               ? std::nullopt
               : std::optional(found->second->second);
}

} // namespace parsleytrack::routing
