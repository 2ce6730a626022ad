#pragma once

#include "units/ids.hpp"

#include <string>

namespace parsleytrack::routing
{

/// A set of interchangeable replicas.
struct service
{
    service_name name;
    /// Path of the health check.
    std::string health_path;
    /// Total number of connections that one replica accepts.
    int max_connections = 0;
    /// Whether its replicas are model engines.
    bool is_engine = false;
    /// Number of requests that one replica runs concurrently; 0 when the
    /// configuration does not set it.
    int slots = 0;
};

} // namespace parsleytrack::routing
