#pragma once

#include <string_view>

namespace parsleytrack::net
{

/// Checks the fields that say where the body of a request ends. Where they can
/// be read in several ways, what one reader takes for the body is the next
/// request for another.
///
/// \param head A request head as received, without its last empty line.
/// \returns Whether it has no such field, one Content-Length that is a number,
/// or one Transfer-Encoding that is "chunked".
bool is_framing_clear(std::string_view head);

} // namespace parsleytrack::net
