#pragma once

#include "net/http_exchange.hpp"
#include "units/error.hpp"

#include <string>

namespace parsleytrack
{

/// \param reason An error.
/// \returns The HTTP status that corresponds to the error code.
int http_status(const error& reason);

/// \param reason An error.
/// \returns The JSON body of an error response.
std::string error_body(const error& reason);

/// Sends an error response, with Retry-After if a retry may succeed.
///
/// \param exchange The request to answer.
/// \param reason The error.
void respond_error(net::http_exchange& exchange, const error& reason);

} // namespace parsleytrack
