#pragma once

#include "net/http_request_head.hpp"

#include <cstdint>
#include <string_view>

struct evhtp_request;

namespace parsleytrack::net::detail
{

/// \param request A libevhtp request whose head is complete.
/// \param target The target in the request line as received.
http_request_head read_head(evhtp_request* request, std::string_view target);

/// \param text A request head as received.
/// \returns The largest length that a Content-Length field declares; 0 if there
/// is none, and the largest number if it is out of range.
std::uint64_t declared_body_bytes(std::string_view text);

} // namespace parsleytrack::net::detail
