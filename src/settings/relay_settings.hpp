#pragma once

#include "logging/log.hpp"
#include "settings/allotment_settings.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <optional>
#include <vector>

namespace parsleytrack::settings
{

/// Settings of a relay node, which reads its routes and replicas from the
/// platform's store.
struct relay_settings
{
    node_id id;
    region_name region;
    availability_zone_name availability_zone;
    /// CPU capacity of the node, in thousandths of a core.
    int capacity_millicores = 1000;
    /// Memory that the instance allows the process.
    byte_count memory{256 * 1024 * 1024};
    /// Listen address for callers; absent on a node that serves none.
    std::optional<endpoint> front;
    /// Listen address of the readiness check.
    std::optional<endpoint> ready;
    /// Listen address of the directory, which gives callers addresses to use.
    std::optional<endpoint> directory;
    /// Listen address of the metrics page.
    std::optional<endpoint> metrics;
    /// Listen address for other nodes, over TCP and UDP.
    endpoint peer;
    /// Peer addresses of the nodes through which this node joins the group.
    std::vector<endpoint> seeds;
    endpoint store;
    /// In groups of up to this many nodes, every node watches the list of
    /// replicas in the store; in larger groups most receive it from a few
    /// others.
    int max_direct_followers = 16;
    /// How long callers may cache an address response.
    duration address_validity = std::chrono::seconds(2);
    /// How long the results of a finished job stay readable, counted from the
    /// submission of the job.
    duration result_retention = std::chrono::minutes(15);
    /// Maximum duration of a planned shutdown.
    duration stop_timeout = std::chrono::seconds(8);
    /// Requests with keys are refused while the configuration has not been
    /// confirmed for this long; absent for no limit.
    std::optional<duration> key_confirmation;
    allotment_settings allotments;
    log_level level = log_level::info;
};

} // namespace parsleytrack::settings
