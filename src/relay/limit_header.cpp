#include "relay/limit_header.hpp"

#include <strings.h>

#include <charconv>
#include <cmath>
#include <string_view>

namespace parsleytrack::relay
{

namespace
{

std::optional<request_rate> parse_rate(std::string_view text)
{
    double value = 0.0;
    const char* const end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_number || !std::isfinite(value) || value < 0.0)
    {
        return std::nullopt;
    }
    return request_rate(value);
}

} // namespace

std::optional<routing::limit_observation>
read_limit(const net::http_header_list& headers, const std::string& name,
           time_point now)
{
    routing::limit_observation observation;
    observation.at = now;
    bool has_field = false;
    for (const auto& [field, value] : headers)
    {
        if (strcasecmp(field.c_str(), name.c_str()) != 0)
        {
            continue;
        }
        has_field = true;
        const auto rate = parse_rate(value);
        if (rate && (!observation.limit || *rate < *observation.limit))
        {
            observation.limit = rate;
        }
    }
    if (has_field && !observation.limit)
    {
        return std::nullopt;
    }
    return observation;
}

} // namespace parsleytrack::relay
