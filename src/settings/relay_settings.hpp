#pragma once

#include "logging/log.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <optional>
#include <vector>

namespace parsleytrack::settings
{

/// Settings of a relay node, which takes its routes and replicas from the
/// platform's store.
struct relay_settings
{
    node_id id;
    region_name region;
    availability_zone_name availability_zone;
    /// What the node may spend, in thousandths of a core.
    int capacity_millicores = 1000;
    /// Where callers connect; absent for a node that takes none.
    std::optional<endpoint> front;
    /// Where the node answers whether it takes requests.
    std::optional<endpoint> ready;
    /// Where callers ask for addresses.
    std::optional<endpoint> directory;
    /// Where metrics are served.
    std::optional<endpoint> metrics;
    /// Where other nodes connect, over TCP and UDP.
    endpoint peer;
    /// Peer addresses of nodes to join through.
    std::vector<endpoint> seeds;
    endpoint store;
    /// Up to so many nodes all follow the store's list of replicas; in larger
    /// groups most follow it through a few others.
    int max_direct_followers = 16;
    /// How long callers may keep an address answer.
    duration address_validity = std::chrono::seconds(2);
    /// How long after its submission a finished job's results stay readable.
    duration result_retention = std::chrono::minutes(15);
    /// Longest time of a planned stop.
    duration stop_timeout = std::chrono::seconds(8);
    log_level level = log_level::info;
};

} // namespace parsleytrack::settings
