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

/// \returns Whether a status code reports success.
constexpr bool is_success(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

} // namespace parsleytrack::net
