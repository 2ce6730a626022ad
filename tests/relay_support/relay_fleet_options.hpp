#pragma once

namespace parsleytrack::relay_support
{

/// How a fleet is set up.
struct relay_fleet_options
{
    int node_count = 1;
    /// How long results stay readable, in seconds.
    int keep_results_s = 900;
    /// Up to so many nodes all follow the store.
    int max_direct_followers = 16;
    int engine_count = 3;
    /// Whether each node reaches the store, and all reach each replica, through
    /// a proxy that can harm the connections.
    bool has_proxies = false;
};

} // namespace parsleytrack::relay_support
