#include "relay/hop_headers.hpp"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string>

namespace parsleytrack::relay
{

namespace
{

constexpr std::array<const char*, 11> hop_by_hop_fields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

/// \returns Whether the Connection field lists the field as hop-by-hop.
bool is_listed_in_connection(const std::string* connection,
                             const std::string& field)
{
    if (connection == nullptr)
    {
        return false;
    }
    const auto equal = [](char left, char right)
    {
        return std::tolower(left) == std::tolower(right);
    };
    return std::search(connection->begin(), connection->end(), field.begin(),
                       field.end(), equal) != connection->end();
}

} // namespace

net::http_header_list end_to_end_headers(const net::http_header_list& headers)
{
    const std::string* connection = net::find_header(headers, "Connection");
    net::http_header_list kept;
    for (const auto& field : headers)
    {
        const bool is_hop_by_hop =
            std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                        [&field](const char* name)
                        { return strcasecmp(name, field.first.c_str()) == 0; });
        if (!is_hop_by_hop && !is_listed_in_connection(connection, field.first))
        {
            kept.push_back(field);
        }
    }
    return kept;
}

} // namespace parsleytrack::relay
