#pragma once

#include "net/http_header_list.hpp"

namespace parsleytrack::relay
{

/// \param headers The fields of a message.
/// \returns Those that go beyond one connection, and say nothing about how the
/// body is framed.
net::http_header_list end_to_end_headers(const net::http_header_list& headers);

} // namespace parsleytrack::relay
