#include "routing/crashing_parts.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace parsleytrack::routing
{

namespace
{

/// The evidence against one part.
struct suspect
{
    std::set<replica_process_id> replicas;
    time_point first = time_point::max();
    time_point last = time_point::min();
    /// Greatest position in a prompt; later parts are shared by fewer requests.
    std::size_t position = 0;
    bool was_survived = false;

    bool is_guilty() const
    {
        if (!this->was_survived)
        {
            return this->replicas.size() >= crash_threshold;
        }
        return this->replicas.size() >= crash_threshold_of_survived &&
               this->last - this->first >= crash_span_of_survived;
    }

    /// \returns Whether this explains the crashes better than another suspect.
    bool is_stronger_than(const suspect& other) const
    {
        if (this->replicas.size() != other.replicas.size())
        {
            return this->replicas.size() > other.replicas.size();
        }
        if (this->was_survived != other.was_survived)
        {
            return other.was_survived;
        }
        return this->position > other.position;
    }
};

std::map<prompt_part_id, suspect>
find_suspects(const std::vector<crash_report>& reports,
              const std::map<prompt_part_id, time_point>& survivals)
{
    std::map<prompt_part_id, suspect> suspects;
    for (const crash_report& report : reports)
    {
        for (std::size_t index = 0; index < report.parts.size(); ++index)
        {
            const prompt_part_id& part = report.parts[index];
            const auto survival = survivals.find(part);
            const bool was_survived = survival != survivals.end();
            if (was_survived && report.at <= survival->second)
            {
                continue;
            }
            suspect& entry = suspects[part];
            entry.replicas.insert(report.replica_process);
            entry.first = std::min(entry.first, report.at);
            entry.last = std::max(entry.last, report.at);
            entry.position = std::max(entry.position, index);
            entry.was_survived = was_survived;
        }
    }
    return suspects;
}

} // namespace

std::vector<prompt_part_id>
find_crashing_parts(std::vector<crash_report> reports,
                    const std::map<prompt_part_id, time_point>& survivals)
{
    std::vector<prompt_part_id> found;
    while (true)
    {
        const auto suspects = find_suspects(reports, survivals);
        auto strongest = suspects.end();
        for (auto entry = suspects.begin(); entry != suspects.end(); ++entry)
        {
            if (entry->second.is_guilty() &&
                (strongest == suspects.end() ||
                 entry->second.is_stronger_than(strongest->second)))
            {
                strongest = entry;
            }
        }
        if (strongest == suspects.end())
        {
            return found;
        }
        const prompt_part_id part = strongest->first;
        found.push_back(part);
        std::erase_if(reports,
                      [&part](const crash_report& report)
                      {
                          return std::find(report.parts.begin(),
                                           report.parts.end(),
                                           part) != report.parts.end();
                      });
    }
}

} // namespace parsleytrack::routing
