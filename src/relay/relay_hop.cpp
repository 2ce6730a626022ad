#include "relay/relay_hop.hpp"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <string>

namespace parsleytrack::relay
{

net::http_header_list to_headers(const relay_hop& hop)
{
    net::http_header_list headers;
    headers.emplace_back(hop_fields::runs, std::to_string(hop.runs));
    if (hop.origin)
    {
        headers.emplace_back(hop_fields::service, hop.origin->service.str());
        headers.emplace_back(hop_fields::version, hop.origin->version.str());
    }
    return headers;
}

std::optional<relay_hop> read_hop(const net::http_header_list& headers)
{
    const std::string* runs = net::find_header(headers, hop_fields::runs);
    if (runs == nullptr)
    {
        return std::nullopt;
    }
    relay_hop hop;
    const auto parsed =
        std::from_chars(runs->data(), runs->data() + runs->size(), hop.runs);
    if (parsed.ec != std::errc() || hop.runs < 0)
    {
        return std::nullopt;
    }
    const std::string* service = net::find_header(headers, hop_fields::service);
    const std::string* version = net::find_header(headers, hop_fields::version);
    if (service != nullptr && version != nullptr)
    {
        hop.origin =
            stream_origin{service_name(*service), software_version(*version)};
    }
    return hop;
}

void erase_hop_fields(net::http_header_list& headers)
{
    std::erase_if(
        headers,
        [](const auto& field)
        {
            const auto fields = {hop_fields::runs, hop_fields::service,
                                 hop_fields::version, hop_fields::stranded};
            return std::any_of(
                fields.begin(), fields.end(),
                [&field](const char* name)
                { return strcasecmp(name, field.first.c_str()) == 0; });
        });
}

} // namespace parsleytrack::relay
