#include "relay/stream_head.hpp"

#include <strings.h>

#include <string_view>

namespace parsleytrack::relay
{

namespace
{

constexpr std::string_view event_stream_type = "text/event-stream";

} // namespace

bool may_be_event_stream(const net::http_header_list& headers)
{
    if (net::find_header(headers, "Content-Encoding") != nullptr)
    {
        return false;
    }
    const std::string* type = net::find_header(headers, "Content-Type");
    return type == nullptr ||
           strncasecmp(type->c_str(), event_stream_type.data(),
                       event_stream_type.size()) == 0;
}

bool has_marked_end(const net::http_header_list& headers)
{
    return net::find_header(headers, "Content-Length") != nullptr ||
           net::find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace parsleytrack::relay
