#pragma once

#include "decisions/member_record.hpp"
#include "units/time.hpp"

#include <map>
#include <vector>

namespace parsleytrack
{

/// What is believed of the other nodes of a region. Records are joined so
/// that the order in which they arrive does not matter: the higher
/// incarnation wins, and within one incarnation the worse state.
class member_table
{
public:
    struct member
    {
        member_record record;
        /// When the state was last changed.
        time_point since;
    };

    /// Takes in a claim about a node.
    ///
    /// \returns Whether it was news. A claim that an unknown node is dead is
    /// not, so that forgotten nodes stay forgotten.
    bool merge(const member_record& claim, time_point now);

    /// Holds the clocks of all suspicions for a time in which this process
    /// could not have heard a refutation.
    void delay_suspicions(duration pause);

    /// \returns The nodes that have been suspected for at least so long.
    std::vector<node_id> suspected_for(duration span, time_point now) const;

    /// Forgets the nodes that have been dead for at least so long.
    ///
    /// \returns The nodes that were forgotten.
    std::vector<node_id> evict_dead(duration span, time_point now);

    /// \returns The node, or null when it is not known.
    const member* find(const node_id& id) const;

    /// \returns All known nodes, the dead ones included.
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
