#pragma once

#include "decisions/node_info.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleytrack::slots
{

/// Selects the broker of each pool among the live nodes by rendezvous hashing,
/// so that all nodes with the same view select the same one. A node that did
/// not respond is excluded for a fixed time.
class broker_selector
{
public:
    /// \param exclusion How long an unresponsive node is excluded.
    explicit broker_selector(duration exclusion);

    /// Excludes a node that did not respond.
    ///
    /// \returns Whether the exclusion starts now; false when the node was
    /// excluded already.
    bool mark_unresponsive(const node_id& node, time_point now);

    /// Discards all choices; to be called when the live nodes have changed.
    void clear_choices() { this->choices.clear(); }

    /// \param pool The pool's name.
    /// \param own This node, the fallback when no live node can be chosen.
    /// \param live_nodes All live nodes.
    /// \returns The broker; valid until the next call.
    const node_info& choose(const std::string& pool, const node_info& own,
                            const std::vector<node_info>& live_nodes,
                            time_point now);

    /// \returns The broker if the one that choose() returns is gone.
    node_info successor(const std::string& pool, const node_info& own,
                        const std::vector<node_info>& live_nodes,
                        time_point now);

private:
    struct choice
    {
        node_info broker;
        /// When the first of the excluded nodes becomes eligible again.
        time_point valid_until;
    };

    duration exclusion_time;
    std::map<node_id, time_point> excluded_until;
    std::map<std::string, choice> choices;
};

} // namespace parsleytrack::slots
