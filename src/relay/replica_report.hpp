#pragma once

#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// Tells the broker of the service that a request to a replica failed.
struct replica_report
{
    request_id request;
    service_name service;
    replica_id replica;
    /// The replica said that it is leaving, or another one responded in its
    /// place; otherwise it failed the request.
    bool leaving = false;
};

} // namespace parsleytrack::relay
