#pragma once

#include "net/http_exchange.hpp"
#include "units/error.hpp"

namespace parsleytrack::relay
{

/// Answers with an error. A status that promises "not run" is only used when
/// that is known; Retry-After is given in seconds with fractions.
///
/// \param exchange The request to answer.
/// \param reason The error.
/// \returns The HTTP status that was sent.
int refuse(net::http_exchange& exchange, const error& reason);

} // namespace parsleytrack::relay
