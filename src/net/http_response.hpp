#pragma once

#include "net/http_header_list.hpp"

#include <string>

namespace parsleytrack::net
{

/// The response to a request of the HTTP client.
struct http_response
{
    int status = 0;
    http_header_list headers;
    /// Empty if callbacks::on_piece received the body.
    std::string body;
};

} // namespace parsleytrack::net
