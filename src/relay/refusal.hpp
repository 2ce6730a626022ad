#pragma once

#include "net/http_exchange.hpp"
#include "units/error.hpp"

namespace parsleytrack::relay
{

/// \returns Whether a status promises that the request has not run.
bool promises_not_run(int status);

/// Responds with an error. A status that implies that the request was not run
/// is only sent when that is known; Retry-After is in seconds with fractions.
///
/// \param exchange The request to respond to.
/// \param reason The error.
/// \returns The HTTP status that was sent.
int refuse(net::http_exchange& exchange, const error& reason);

} // namespace parsleytrack::relay
