#pragma once

#include "units/endpoint.hpp"

#include <string>

namespace parsleytrack
{

/// \param text Such as "10.0.0.1:7000".
/// \param parsed Receives the endpoint; unchanged when the text is invalid.
/// \returns Whether the text is an IPv4 address and a port from 1 to 65535.
bool parse_endpoint(const std::string& text, endpoint& parsed);

} // namespace parsleytrack
