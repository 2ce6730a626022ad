#pragma once

#include "units/ids.hpp"

#include <string>

namespace parsleytrack::routing
{

/// A set of interchangeable replicas.
struct service
{
    service_name name;
    /// Path of the status check.
    std::string health_path;
    /// Connections that one replica accepts from all callers together.
    int max_connections = 0;
    /// Whether its replicas are model engines.
    bool is_engine = false;
    /// Requests that one replica runs at the same time; 0 when the
    /// configuration does not say.
    int slots = 0;
};

} // namespace parsleytrack::routing
