#pragma once

#include "net/http_request.hpp"
#include "net/http_request_head.hpp"
#include "relay/header_names.hpp"
#include "units/time.hpp"

#include <cstdint>

namespace parsleytrack::relay
{

/// \param head What the caller has asked.
/// \param names Names of header fields.
/// \param remaining_time What remains of the caller's time.
/// \param last_event Number of the last event that the caller has; 0 for none.
/// \returns The same request for a replica, without its body.
net::http_request replica_request(const net::http_request_head& head,
                                  const header_names& names,
                                  duration remaining_time,
                                  std::int64_t last_event);

} // namespace parsleytrack::relay
