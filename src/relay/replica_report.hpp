#pragma once

#include "units/ids.hpp"

namespace parsleytrack::relay
{

/// What a request has shown of its replica, for the broker of the service.
struct replica_report
{
    request_id request;
    service_name service;
    replica_id replica;
    /// The replica says itself that it leaves, or another one answers in its
    /// place; otherwise it has failed the request.
    bool leaving = false;
};

} // namespace parsleytrack::relay
