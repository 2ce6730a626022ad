#include "relay/replica_request.hpp"

#include "relay/hop_headers.hpp"
#include "relay/relay_hop.hpp"

#include <strings.h>

#include <algorithm>
#include <string>

namespace parsleytrack::relay
{

net::http_request replica_request(const net::http_request_head& head,
                                  const header_names& names,
                                  duration remaining_time,
                                  std::int64_t last_event)
{
    net::http_request request;
    request.method = head.method;
    request.target = head.path;
    if (head.has_query)
    {
        request.target += "?" + head.raw_query;
    }
    const auto is_replaced = [&names, last_event](const std::string& name)
    {
        const auto is = [&name](const std::string& other)
        {
            return strcasecmp(name.c_str(), other.c_str()) == 0;
        };
        return is(names.remaining_time_ms) || is(names.expected_replica) ||
               (last_event > 0 && is(names.resume_after));
    };
    request.headers = end_to_end_headers(head.headers);
    erase_hop_fields(request.headers);
    std::erase_if(request.headers, [&is_replaced](const auto& field)
                  { return is_replaced(field.first); });
    request.headers.emplace_back(names.remaining_time_ms,
                                 std::to_string(std::max<std::int64_t>(
                                     1, to_milliseconds(remaining_time))));
    if (last_event > 0)
    {
        request.headers.emplace_back(names.resume_after,
                                     std::to_string(last_event));
    }
    return request;
}

} // namespace parsleytrack::relay
