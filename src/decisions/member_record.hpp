#pragma once

#include "decisions/node_info.hpp"

namespace parsleytrack
{

/// A claim about the state of a node, as it is sent between nodes.
struct member_record
{
    /// Its state is alive, suspect or dead, never leaving.
    node_info node;
    /// Whether the node has announced a planned stop. Stored separately from
    /// the state, since a leaving node can also be suspected or dead.
    bool leaving = false;

    /// \returns The node as other modules see it: the state is leaving if the
    /// node has announced a stop and is not dead.
    node_info visible() const;

    bool operator==(const member_record&) const = default;
};

} // namespace parsleytrack
