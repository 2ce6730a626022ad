#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace parsleytrack::allotments
{

/// The owners that do not respond, although they count as live, and the
/// workspaces for which a node denies to be the owner, since its view of the
/// group is another one.
class owner_outages
{
public:
    /// Handles that an owner did not respond.
    ///
    /// \param workspace One of its workspaces, to ask for with the next probe.
    void mark_silent(const node_id& owner, const workspace_name& workspace,
                     time_point now);

    /// Handles a node's reply that it does not own the workspace.
    void mark_denied(const node_id& owner, const workspace_name& workspace,
                     time_point now);

    /// Probes a silent owner with this workspace from now on, since it may no
    /// longer own the one before.
    void probe_with(const node_id& owner, const workspace_name& workspace);

    /// Handles an owner's reply.
    void clear(const node_id& owner, const workspace_name& workspace);

    /// \returns The start of the outage; absent if there is none.
    std::optional<time_point> since(const node_id& owner,
                                    const workspace_name& workspace) const;

    /// \returns Workspaces to ask for now, one for each silent owner and each
    /// denied workspace whose probe is due. Drops outages that began more than
    /// a minute ago.
    std::vector<workspace_name> take_due_probes(time_point now);

private:
    struct outage
    {
        time_point since;
        time_point last_probe;
        workspace_name workspace;
    };
    /// The workspace is empty for a silent owner.
    using outage_key = std::pair<node_id, workspace_name>;

    std::map<outage_key, outage> outages;
};

} // namespace parsleytrack::allotments
