#pragma once

#include "net/http_header_list.hpp"

namespace parsleytrack::relay
{

/// \returns Whether the header fields of a success allow its body to be a
/// stream of events.
bool may_be_event_stream(const net::http_header_list& headers);

/// \returns Whether the end of the body can be told from the end of the
/// connection.
bool has_marked_end(const net::http_header_list& headers);

} // namespace parsleytrack::relay
