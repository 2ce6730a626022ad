#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace parsleytrack::workspaces
{

/// Counts the requests of each workspace that a node has granted and refused in
/// the last window.
class request_counts
{
public:
    struct totals
    {
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;

        bool operator==(const totals&) const = default;
    };

    struct workspace_totals
    {
        workspace_name workspace;
        totals requests;
    };

    /// Length of the window.
    static constexpr duration window = std::chrono::seconds(5);

    /// Most workspaces that are counted separately: above the design capacity
    /// of 3,600. Requests of further ones count only in total().
    static constexpr std::size_t max_workspaces = 4096;

    /// \param now Must not decrease between calls.
    void count_granted(const workspace_name& workspace, time_point now);
    void count_refused(const workspace_name& workspace, time_point now);

    /// \returns The counts of one workspace.
    totals of(const workspace_name& workspace, time_point now) const;

    /// \returns The counts of all workspaces together.
    totals total(time_point now) const;

    /// \returns The workspaces with the most requests, granted and refused
    /// ones together, in descending order; ties are ordered by name. Workspaces
    /// without requests in the window are left out.
    std::vector<workspace_totals> busiest(std::size_t limit,
                                          time_point now) const;

    /// \returns Number of workspaces that are counted separately.
    std::size_t size() const { return this->entries.size(); }

private:
    static constexpr std::size_t step_count = 10;

    /// The counts in steps of the window, as a ring.
    class recent_totals
    {
    public:
        totals& at(std::int64_t step);
        totals sum(std::int64_t now_step) const;
        bool is_outdated(std::int64_t now_step) const;

    private:
        std::array<totals, step_count> steps;
        std::int64_t latest = 0;
    };

    /// \returns The counts to which a request of a workspace adds, or nullptr.
    recent_totals* find_or_add(const workspace_name& workspace,
                               std::int64_t step);

    std::map<workspace_name, recent_totals> entries;
    recent_totals all;
    /// Step of the last removal of outdated entries.
    std::int64_t cleaned_at = 0;
};

} // namespace parsleytrack::workspaces
