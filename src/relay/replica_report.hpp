#pragma once

#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// Tells the broker of the service that a request to a replica failed, or that
/// the replica is leaving.
struct replica_report
{
    /// Empty when no request failed.
    request_id request;
    service_name service;
    replica_id replica;
    replica_process_id process;
    /// The replica said that it is leaving, or another one responded in its
    /// place; otherwise it failed the request.
    bool leaving = false;
};

} // namespace parsleytrack::relay
