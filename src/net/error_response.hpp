#pragma once

#include "net/http_exchange.hpp"
#include "units/error.hpp"

#include <string>

namespace parsleytrack
{

/// \param reason An error.
/// \returns The HTTP status that goes with it.
int http_status(const error& reason);

/// \param reason An error.
/// \returns The JSON body of an error answer.
std::string error_body(const error& reason);

/// Answers with an error, and Retry-After where asking again helps.
///
/// \param exchange The request to answer.
/// \param reason The error.
void respond_error(net::http_exchange& exchange, const error& reason);

} // namespace parsleytrack
