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

/// What a node has seen of the traits of requests: under which ones they lost
/// their replicas, and which ones replicas have survived. Both are bounded; the
/// oldest entries are dropped first.
class crash_history
{
public:
    static constexpr std::size_t max_reports = 512;
    static constexpr std::size_t max_survived_traits = 4096;
    /// Reports are dropped after this time.
    static constexpr duration report_lifetime = std::chrono::minutes(5);

    /// Adds a report; one that is known already changes nothing.
    void add_report(const crash_report& report);

    /// Records that a replica has answered a request with these traits.
    void record_survival(const std::vector<request_trait>& traits,
                         time_point when);

    /// \returns The reports that contain at least one of the traits.
    std::vector<crash_report>
    reports_with(const std::vector<request_trait>& traits,
                 time_point now) const;

    /// \returns When a replica last survived the trait; absent when that is not
    /// remembered.
    std::optional<time_point> last_survival(const request_trait& trait) const;

private:
    using survival_list = std::list<std::pair<request_trait, time_point>>;

    std::deque<crash_report> reports;
    /// Most recent first.
    survival_list survivals;
    std::unordered_map<request_trait, survival_list::iterator> survival_index;
};

} // namespace parsleytrack::routing
