#pragma once

#include "settings/replica_settings.hpp"
#include "settings/route_settings.hpp"
#include "settings/service_kind.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <vector>

namespace parsleytrack::settings
{

/// Settings of one service.
struct service_settings
{
    service_name name;
    service_kind kind = service_kind::engine;
    /// Number of requests that one replica runs concurrently.
    int slots = 8;
    /// Slots of each replica that are reserved for online requests.
    int online_reserve = 0;
    /// Whether its engines refuse a control request with an outdated fencing
    /// number.
    bool checks_fencing = true;
    /// Default deadline of online requests.
    duration online_deadline = std::chrono::seconds(30);
    /// Maximum time until a replica starts its response.
    duration first_byte_timeout = std::chrono::seconds(10);
    /// Maximum pause within a streamed response.
    duration idle_timeout = std::chrono::seconds(5);
    std::vector<route_settings> routes;
    /// Static replicas, in addition to those that the platform lists.
    std::vector<replica_settings> replicas;
};

} // namespace parsleytrack::settings
