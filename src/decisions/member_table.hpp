#pragma once

#include "decisions/member_record.hpp"
#include "units/time.hpp"

#include <map>
#include <vector>

namespace parsleytrack
{

/// The believed states of the other nodes of a region. Merging claims does not
/// depend on their order of arrival: the higher incarnation wins, and within
/// one incarnation the worse state.
class member_table
{
public:
    struct member
    {
        member_record record;
        /// When the state last changed.
        time_point since;
    };

    /// Merges a claim about a node.
    ///
    /// \returns Whether the claim changed the table. A claim that an unknown
    /// node is dead does not, so that evicted nodes are not added again.
    bool merge(const member_record& claim, time_point now);

    /// Extends all suspicions by the time in which this process could not have
    /// received a refutation.
    void delay_suspicions(duration pause);

    /// \returns The nodes that have been suspected for at least the given time.
    std::vector<node_id> suspected_for(duration span, time_point now) const;

    /// Evicts the nodes that have been dead for at least the given time.
    ///
    /// \returns The evicted nodes.
    std::vector<node_id> evict_dead(duration span, time_point now);

    /// \returns The node, or null if it is not known.
    const member* find(const node_id& id) const;

    /// \returns All known nodes, including dead ones.
    const std::map<node_id, member>& all() const { return this->members; }

    /// \returns The nodes that are not dead.
    const std::vector<node_id>& present() const { return this->not_dead; }

    /// \returns How many nodes are not dead.
    std::size_t present_count() const { return this->not_dead.size(); }

    /// \returns The nodes that are suspected.
    const std::vector<node_id>& suspects() const { return this->suspected; }

private:
    bool merge_into(member& known, const member_record& claim, time_point now);
    void rebuild_indexes();

    std::map<node_id, member> members;
    std::vector<node_id> not_dead;
    std::vector<node_id> suspected;
};

} // namespace parsleytrack
