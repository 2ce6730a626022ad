#pragma once

#include "net/http_request_head.hpp"
#include "units/ids.hpp"

#include <string_view>

namespace parsleytrack::relay
{

/// \returns The trait of all requests with this method, host, target and body;
/// a part of a prompt never equals it.
request_trait content_trait(const net::http_request_head& head,
                            std::string_view body);

} // namespace parsleytrack::relay
