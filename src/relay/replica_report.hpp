#pragma once

#include "relay/replica_limit.hpp"
#include "units/ids.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// Tells the broker of the service that a request to a replica failed, that the
/// replica is leaving, or what it has said of its limit.
struct replica_report
{
    /// Empty when no request failed.
    request_id request;
    service_name service;
    replica_id replica;
    replica_process_id process;
    /// The replica said that it is leaving, or another one responded in its
    /// place; otherwise it failed the request, if there was one.
    bool leaving = false;
    /// Set when the replica has said something new of its limit.
    std::optional<replica_limit> limit = std::nullopt;
    /// The request's connection has ended or did not open.
    bool lost = false;
};

} // namespace parsleytrack::relay
