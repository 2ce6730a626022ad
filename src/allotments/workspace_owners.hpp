#pragma once

#include "decisions/node_info.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace parsleytrack::allotments
{

/// The node that owns a workspace.
struct workspace_owner
{
    node_info node;
    /// Since when it has owned the workspace without interruption, as far as
    /// this node has seen.
    time_point since;
};

/// Knows the owner of each workspace and since when it has been the owner. The
/// times at which nodes came and went suffice for this, since a workspace goes
/// from one node to another only if either comes or goes.
class workspace_owners
{
public:
    /// \param own_node This node, which is always alive.
    explicit workspace_owners(node_id own_node);

    /// \param live The live nodes. Those that serve no callers own nothing.
    /// \returns Whether an owner may have changed.
    bool update(const std::vector<node_info>& live, time_point now);

    /// Starts the ownerships of this node anew, after a pause in which others
    /// may have owned its workspaces.
    void restart_own(time_point now);

    /// Excludes a process that does not know of allotments, since it runs an
    /// earlier build.
    void exclude(const node_info& node, time_point now);

    /// Records that a node's process has answered, so that it need not be
    /// asked whether it knows of allotments.
    void confirm(const node_info& node);

    /// \returns Whether confirm() was called for this node's process.
    bool is_confirmed(const node_info& node) const;

    /// \returns The owner, or nullptr if no live node serves callers; valid
    /// until the next call of any function.
    const workspace_owner* owner_of(const workspace_name& name);

private:
    struct candidate
    {
        node_info node;
        time_point since;
        bool is_confirmed = false;
    };

    /// \returns Whether a node has gone.
    bool remove_gone(const std::map<node_id, node_info>& live, time_point now);
    void forget_oldest_gone();
    workspace_owner find_owner(const workspace_name& name) const;

    node_id own;
    std::map<node_id, candidate> candidates;
    std::map<node_id, process_number> excluded;
    /// Nodes that were alive earlier, with the time at which they went.
    std::map<node_id, time_point> gone;
    /// Lower bound of all times, since older changes are forgotten.
    time_point known_since = time_point::min();
    /// Owners that were asked for since the last change.
    std::unordered_map<workspace_name, workspace_owner> found_owners;
};

} // namespace parsleytrack::allotments
