#pragma once

#include "logging/log.hpp"
#include "settings/batch_settings.hpp"
#include "settings/limit_settings.hpp"
#include "settings/service_settings.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <string>
#include <vector>

namespace parsleytrack::settings
{

/// All settings of one parsleytrackd process.
struct node_settings
{
    node_id id;
    region_name region;
    availability_zone_name availability_zone;
    /// Listen address for callers.
    endpoint http;
    /// Listen address for other nodes, over TCP and UDP.
    endpoint peer;
    /// Whether this node's address is given to callers.
    bool entry = true;
    /// Directory for segments; empty for a node that is not a keeper.
    std::string data_folder;
    /// Peer addresses of the nodes through which this node joins the group.
    std::vector<endpoint> seeds;
    /// Addresses of the platform's store.
    std::vector<endpoint> store;
    /// Maximum calls per second to the platform's store. A pending watch counts
    /// as a call.
    int store_calls_per_s = 20;
    std::vector<service_settings> services;
    limit_settings limits;
    batch_settings batch;
    /// From 0, which favours online latency, to 1, which favours batch
    /// throughput.
    double batch_weight = 0.5;
    /// How long callers may cache an address response.
    duration address_validity = std::chrono::seconds(10);
    /// Minimum time that a leaving node keeps serving after address_validity
    /// has passed.
    duration leave_margin = std::chrono::seconds(2);
    log_level level = log_level::info;

    /// \returns Whether this node stores segments.
    bool is_keeper() const { return !this->data_folder.empty(); }
};

} // namespace parsleytrack::settings
