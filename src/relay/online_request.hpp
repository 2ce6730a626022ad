#pragma once

#include "relay/relay_hop.hpp"
#include "routing/route_table.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <memory>
#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// An online request, as received from the caller.
struct online_request
{
    request_id id;
    /// Keeps the route valid when a newer configuration replaces the table.
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route = nullptr;
    /// The caller's workspace, kept by the table; null if it has none.
    const workspaces::workspace* workspace = nullptr;
    std::string body;
    time_point received;
    /// Set by the caller's remaining time or the route's timeout, whichever is
    /// shorter.
    time_point deadline;
    /// Estimated time since the caller's first attempt; zero if this is the
    /// first.
    duration elapsed_before = duration::zero();
    /// Set if another node sends the request because it reaches no replica.
    std::optional<relay_hop> hop = std::nullopt;

    workspace_name workspace_id() const
    {
        return this->workspace == nullptr ? workspace_name()
                                          : this->workspace->name;
    }

    int priority() const
    {
        return this->workspace == nullptr
                   ? this->route->priority
                   : this->workspace->priority_or(this->route->priority);
    }
};

} // namespace parsleytrack::relay
