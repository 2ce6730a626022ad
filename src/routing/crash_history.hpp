#pragma once

#include "routing/crash_report.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleytrack::routing
{

/// What a node has seen of the parts of prompts: under which ones requests lost
/// their replicas, and which ones replicas have survived. Both are bounded; the
/// oldest entries are dropped first.
class crash_history
{
public:
    static constexpr std::size_t max_reports = 512;
    static constexpr std::size_t max_survived_parts = 4096;
    /// Reports are dropped after this time.
    static constexpr duration report_lifetime = std::chrono::minutes(5);

    /// Adds a report; one that is known already changes nothing.
    void add_report(const crash_report& report);

    /// Records that a replica has answered a prompt with these parts.
    void record_survival(const std::vector<prompt_part_id>& parts,
                         time_point when);

    /// \returns The reports that contain at least one of the parts.
    std::vector<crash_report>
    reports_with(const std::vector<prompt_part_id>& parts,
                 time_point now) const;

    /// \returns When a replica last survived the part; absent when that is not
    /// remembered.
    std::optional<time_point> last_survival(const prompt_part_id& part) const;

private:
    using survival_list = std::list<std::pair<prompt_part_id, time_point>>;

    std::deque<crash_report> reports;
    /// Most recent first.
    survival_list survivals;
    std::unordered_map<prompt_part_id, survival_list::iterator> survival_index;
};

} // namespace parsleytrack::routing
