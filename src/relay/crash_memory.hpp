#pragma once

#include "routing/crash_history.hpp"
#include "routing/trait_quarantine.hpp"
#include "wire/peer_network.hpp"

#include <memory>

namespace parsleytrack::relay
{

/// Remembers on a storage node what the other nodes know of requests that crash
/// replicas, since all nodes that callers use may be killed at once.
class crash_memory
{
public:
    /// \param network Outlives this object.
    explicit crash_memory(wire::peer_network& network);

private:
    void handle_verdicts(wire::peer_exchange& exchange);

    routing::crash_history history;
    routing::trait_quarantine quarantine;
};

} // namespace parsleytrack::relay
