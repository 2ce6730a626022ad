#pragma once

#include <string_view>

namespace parsleytrack
{

/// The state of a node as another node believes it.
enum class node_state
{
    alive,
    /// Has not acknowledged probes; may be dead or unreachable.
    suspect,
    /// Has announced a planned stop but still serves.
    leaving,
    dead
};

/// \returns The name of the state in responses, logs and metrics.
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
