#pragma once

namespace parsleytrack::soak
{

/// Which faults a run draws from. A seed fixes a run for one of these only, so
/// new faults get a value of their own.
enum class fault_kinds
{
    basic,
    /// In addition, connections to the store go silent for good, and replicas
    /// announce in their responses that they leave.
    with_silence_and_announcements,
    /// In addition to all these, replicas write responses twice.
    with_repeated_responses,
    /// In addition to all these, nodes lose their links to all replicas, and
    /// replicas come back with another software version.
    with_stranded_nodes,
    /// As with_repeated_responses, and replicas crash and come back under their
    /// ids with another software version; their records change later.
    with_returning_replicas,
    /// As with_repeated_responses, and callers use the keys of workspaces,
    /// which operators change.
    with_workspaces,
    /// As with_repeated_responses, and configurations move and split the routes
    /// of streams and jobs.
    with_moving_routes
};

} // namespace parsleytrack::soak
