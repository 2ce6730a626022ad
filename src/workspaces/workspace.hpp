#pragma once

#include "units/ids.hpp"
#include "units/request_rate.hpp"

#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::workspaces
{

/// The allotment of a workspace over all nodes: a token bucket.
struct allotment
{
    /// Zero for no limit.
    request_rate rate;
    /// Requests that may be sent at once beyond the rate.
    double burst = 0.0;

    bool is_limited() const { return this->rate > request_rate(0.0); }

    bool operator==(const allotment&) const = default;
};

/// A workspace as the operators have configured it.
struct workspace
{
    workspace_name name;
    /// The keys with which callers prove that they belong to it.
    std::vector<std::string> keys;
    allotment limit;
    /// Replaces the priority of the routes if set; 0 is the most urgent.
    std::optional<int> priority;

    /// \param route_priority The priority of the request's route.
    int priority_or(int route_priority) const
    {
        return this->priority.value_or(route_priority);
    }
};

} // namespace parsleytrack::workspaces
