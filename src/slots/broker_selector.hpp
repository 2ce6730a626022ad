#pragma once

#include "decisions/node_info.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleytrack::slots
{

/// Chooses the broker of each pool among the living nodes, so that all nodes
/// with the same view choose the same one. A node that did not answer is left
/// out for a while.
class broker_selector
{
public:
    /// \param exclusion How long a silent node is left out.
    explicit broker_selector(duration exclusion);

    /// A node did not answer.
    ///
    /// \returns Whether it is left out from now on; not so when it was before.
    bool mark_unresponsive(const node_id& node, time_point now);

    /// The living nodes have changed.
    void clear_choices() { this->choices.clear(); }

    /// \param pool The pool's name.
    /// \param own This node, which is chosen when no other can be.
    /// \param live_nodes All living nodes.
    /// \returns The broker; valid until the next call.
    const node_info& choose(const std::string& pool, const node_info& own,
                            const std::vector<node_info>& live_nodes,
                            time_point now);

private:
    struct choice
    {
        node_info broker;
        /// When a node that was left out is to be looked at again.
        time_point valid_until;
    };

    duration exclusion_time;
    std::map<node_id, time_point> excluded_until;
    std::map<std::string, choice> choices;
};

} // namespace parsleytrack::slots
