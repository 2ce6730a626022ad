#pragma once

#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::net
{

/// The header fields of a message, in order.
using http_header_list = std::vector<std::pair<std::string, std::string>>;

/// Finds a header field by its case-insensitive name.
///
/// \returns The value of the first match, or null if there is none.
const std::string* find_header(const http_header_list& headers,
                               const char* name);

} // namespace parsleytrack::net
