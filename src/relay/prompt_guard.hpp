#pragma once

#include "metrics/registry.hpp"
#include "net/http_header_list.hpp"
#include "relay/relay_adapter.hpp"
#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// Watches for prompts under which replicas end.
class prompt_guard
{
public:
    /// Output events after which a replica has survived a prompt.
    static constexpr int surviving_events = 2;

    /// \param protocol_adapter Outlives this object, as do the other
    /// references.
    prompt_guard(const relay_adapter& protocol_adapter,
                 metrics::registry& counters);

    /// Handles the loss of a replica's connection before surviving_events.
    ///
    /// \param request The request that was running on the replica.
    /// \param headers The request's header fields.
    /// \param replica The replica, and its process.
    void handle_lost_replica(const request_id& request,
                             const net::http_header_list& headers,
                             const replica_id& replica);

private:
    const relay_adapter& adapter;
    metrics::registry& metrics;
};

} // namespace parsleytrack::relay
