#pragma once

#include "net/http_header_list.hpp"

namespace parsleytrack::relay
{

/// \param headers The header fields of a message.
/// \returns The end-to-end fields: without hop-by-hop fields and those that
/// describe the framing of the body.
net::http_header_list end_to_end_headers(const net::http_header_list& headers);

} // namespace parsleytrack::relay
