#pragma once

#include "net/http_header_list.hpp"
#include "routing/limit_observation.hpp"

#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// \param headers The header fields of a replica's response.
/// \param name The field in which a replica names its limit, a decimal number.
/// Of several values the smallest holds.
/// \param now When the response arrived.
/// \returns What the response says of the limit; absent when the field is there
/// but cannot be read.
std::optional<routing::limit_observation>
read_limit(const net::http_header_list& headers, const std::string& name,
           time_point now);

} // namespace parsleytrack::relay
