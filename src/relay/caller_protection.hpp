#pragma once

#include "metrics/registry.hpp"
#include "net/http_server.hpp"
#include "routing/caller_limits.hpp"
#include "units/numbers.hpp"

#include <vector>

namespace parsleytrack::relay
{

/// Keeps a node within the memory and the descriptors of its instance whatever
/// callers send: sets the limits of its servers and counts refusals.
class caller_protection
{
public:
    /// \param memory Memory limit of the instance.
    /// \param front_server Server of callers' requests.
    /// \param small_servers Servers whose requests have no body to speak of.
    caller_protection(byte_count memory, net::http_server& front_server,
                      const std::vector<net::http_server*>& small_servers,
                      metrics::registry& node_metrics);

    /// Sets the limits of a configuration.
    void apply(const routing::caller_limits& limits);

    void update_gauges() const;

private:
    byte_count memory_limit;
    net::http_server& front;
    metrics::registry& metrics;
    net::body_budget::limits budget;
};

} // namespace parsleytrack::relay
