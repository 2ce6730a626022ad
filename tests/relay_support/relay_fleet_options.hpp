#pragma once

namespace parsleytrack::relay_support
{

/// Options of a relay_fleet.
struct relay_fleet_options
{
    int node_count = 1;
    /// How long results are kept, in seconds.
    int keep_results_s = 900;
    /// How long callers may use an address, in seconds.
    double address_validity_s = 0.5;
    /// Number of nodes up to which every node watches the store itself.
    int max_direct_followers = 16;
    int engine_count = 3;
    /// Number of storage nodes, which callers do not use.
    int storage_count = 0;
    /// Whether the connections from each node to the store and those to each
    /// replica pass through a proxy that can inject faults.
    bool has_proxies = false;
    /// Whether each node reaches the replicas through proxies of its own.
    bool has_node_links = false;
    /// Memory limit in the settings of each node, in MiB; 0 for none.
    int memory_mb = 0;
    /// Limits of the configuration.
    int max_body_bytes = 100'000;
    int idle_timeout_ms = 2000;
};

} // namespace parsleytrack::relay_support
