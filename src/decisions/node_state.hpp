#pragma once

#include <string_view>

namespace parsleytrack
{

/// What is believed of a node.
enum class node_state
{
    alive,
    /// Has missed probes; may be dead or cut off.
    suspect,
    /// Still serves, but will stop soon.
    leaving,
    dead
};

/// \param state What is believed of a node.
/// \returns The state as answers, logs and metrics name it.
constexpr std::string_view to_string(node_state state)
{
    switch (state)
    {
    case node_state::alive:
        return "alive";
    case node_state::suspect:
        return "suspect";
    case node_state::leaving:
        return "leaving";
    case node_state::dead:
        break;
    }
    return "dead";
}

} // namespace parsleytrack
