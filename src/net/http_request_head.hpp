#pragma once

#include "net/http_header_list.hpp"

#include <map>
#include <string>

namespace parsleytrack::net
{

/// Request line and header fields of a request.
struct http_request_head
{
    /// In upper case, such as "GET"; "OTHER" for one that the client does not
    /// send.
    std::string method;
    /// Percent-encoded as received, without the query.
    std::string path;
    /// The query as received, without the question mark.
    std::string raw_query;
    /// Whether a query follows the path, be it empty.
    bool has_query = false;
    /// The query's fields, percent-decoded.
    std::map<std::string, std::string> query;
    http_header_list headers;
};

} // namespace parsleytrack::net
