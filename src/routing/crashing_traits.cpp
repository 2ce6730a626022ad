#include "routing/crashing_traits.hpp"

#include "routing/content_trait.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace parsleytrack::routing
{

namespace
{

/// The evidence against one trait.
struct suspect
{
    std::set<replica_process_id> replicas;
    /// Those that ended before they had sent much.
    std::set<replica_process_id> before_output;
    time_point first = time_point::max();
    time_point last = time_point::min();
    /// Greatest position in a request; later traits are shared by fewer ones.
    std::size_t position = 0;
    bool was_survived = false;
    bool is_whole_request = false;

    bool is_guilty() const
    {
        // Few requests are in progress at several replicas, but a part of a
        // prompt may be.
        const std::size_t direct_evidence = this->is_whole_request
                                                ? this->replicas.size()
                                                : this->before_output.size();
        if (!this->was_survived && direct_evidence >= crash_threshold)
        {
            return true;
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

std::map<request_trait, suspect>
find_suspects(const std::vector<crash_report>& reports,
              const std::map<request_trait, time_point>& survivals)
{
    std::map<request_trait, suspect> suspects;
    for (const crash_report& report : reports)
    {
        for (std::size_t index = 0; index < report.traits.size(); ++index)
        {
            const request_trait& trait = report.traits[index];
            const auto survival = survivals.find(trait);
            const bool was_survived = survival != survivals.end();
            if (was_survived && report.at <= survival->second)
            {
                continue;
            }
            suspect& entry = suspects[trait];
            entry.replicas.insert(report.replica_process);
            if (!report.after_output)
            {
                entry.before_output.insert(report.replica_process);
            }
            entry.is_whole_request = is_content(trait);
            entry.first = std::min(entry.first, report.at);
            entry.last = std::max(entry.last, report.at);
            entry.position = std::max(entry.position, index);
            entry.was_survived = was_survived;
        }
    }
    return suspects;
}

} // namespace

std::vector<request_trait>
find_crashing_traits(std::vector<crash_report> reports,
                     const std::map<request_trait, time_point>& survivals)
{
    std::vector<request_trait> found;
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
        const request_trait trait = strongest->first;
        found.push_back(trait);
        std::erase_if(reports,
                      [&trait](const crash_report& report)
                      {
                          return std::find(report.traits.begin(),
                                           report.traits.end(),
                                           trait) != report.traits.end();
                      });
    }
}

} // namespace parsleytrack::routing
