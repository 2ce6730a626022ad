#pragma once

#include "net/http_header_list.hpp"

#include <string>

namespace parsleytrack
{

/// \param headers The fields of a backend server's answer.
/// \returns Those that the caller gets, without those of one connection.
net::http_header_list passed_back(const net::http_header_list& headers);

/// \returns The answer's content type, or one for any bytes.
std::string content_type_of(const net::http_header_list& headers);

} // namespace parsleytrack
