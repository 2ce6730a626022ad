#pragma once

#include "net/http_header_list.hpp"

namespace parsleytrack::net::detail
{

/// \param major Major version of HTTP of a response.
/// \param minor Its minor version.
/// \param headers Its header fields.
/// \returns Whether the server keeps the connection open after the response.
bool allows_reuse(int major, int minor, const http_header_list& headers);

} // namespace parsleytrack::net::detail
