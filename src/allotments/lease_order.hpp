#pragma once

#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/strong_number.hpp"
#include "units/time.hpp"
#include "workspaces/workspace.hpp"

namespace parsleytrack::allotments
{

/// Identifies one bucket of an owner. Drawn at random, so that leases of an
/// earlier bucket are not returned to a later one.
using bucket_term = strong_number<struct bucket_term_tag>;

/// A request of a node to the owner of a workspace.
struct lease_order
{
    workspace_name workspace;
    workspaces::allotment limit;
    configuration_version version;
    /// Requests that wait for the answer.
    int needed = 0;
    /// Requests that are wanted in all, those that are expected included.
    int wanted = 0;
    /// Leased requests that have not been and will not be sent.
    int returned = 0;
    /// The bucket that they are from.
    bucket_term term;
    /// Requests that were sent without a lease while the owner did not respond.
    int sent_alone = 0;
};

/// The owner's answer.
struct lease_reply
{
    /// Whether the node owns the workspace. If not, nothing else counts.
    bool is_owner = false;
    int granted = 0;
    bucket_term term;
    /// If less than needed was granted: when a request may be granted again.
    duration refilled_in = duration::zero();
};

} // namespace parsleytrack::allotments
