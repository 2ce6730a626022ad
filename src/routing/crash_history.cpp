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

void crash_history::record_survival(const std::vector<prompt_part_id>& parts,
                                    time_point when)
{
    for (const prompt_part_id& part : parts)
    {
        const auto known = this->survival_index.find(part);
        if (known != this->survival_index.end())
        {
            known->second->second = std::max(known->second->second, when);
            this->survivals.splice(this->survivals.begin(), this->survivals,
                                   known->second);
            continue;
        }
        this->survivals.emplace_front(part, when);
        this->survival_index[part] = this->survivals.begin();
        if (this->survivals.size() > max_survived_parts)
        {
            this->survival_index.erase(this->survivals.back().first);
            this->survivals.pop_back();
        }
    }
}

std::vector<crash_report>
crash_history::reports_with(const std::vector<prompt_part_id>& parts,
                            time_point now) const
{
    std::vector<crash_report> found;
    for (const crash_report& report : this->reports)
    {
        const bool has_part = std::any_of(
            parts.begin(), parts.end(),
            [&report](const prompt_part_id& part)
            {
                return std::find(report.parts.begin(), report.parts.end(),
                                 part) != report.parts.end();
            });
        if (has_part && now - report.at < report_lifetime)
        {
            found.push_back(report);
        }
    }
    return found;
}

std::optional<time_point>
crash_history::last_survival(const prompt_part_id& part) const
{
    const auto found = this->survival_index.find(part);
    return found == this->survival_index.end()
               ? std::nullopt
               : std::optional(found->second->second);
}

} // namespace parsleytrack::routing
