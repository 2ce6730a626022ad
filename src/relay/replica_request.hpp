#pragma once

#include "net/http_request.hpp"
#include "net/http_request_head.hpp"
#include "relay/header_names.hpp"
#include "units/time.hpp"

#include <cstdint>

namespace parsleytrack::relay
{

/// \param head The head of the caller's request.
/// \param names Names of header fields.
/// \param remaining_time Time until the caller's deadline; sent as at least 1
/// ms.
/// \param last_event Number of the last event that the caller has received; 0
/// for none.
/// \returns The request to send to a replica, without its body.
net::http_request replica_request(const net::http_request_head& head,
                                  const header_names& names,
                                  duration remaining_time,
                                  std::int64_t last_event);

} // namespace parsleytrack::relay
