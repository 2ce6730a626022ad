#include "relay/prompt_guard.hpp"

#include "logging/log.hpp"

#include <string>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

std::string join(const std::vector<prompt_part_id>& parts)
{
    std::string text;
    for (const prompt_part_id& part : parts)
    {
        text += (text.empty() ? "" : ",") + part.str();
    }
    return text;
}

} // namespace

prompt_guard::prompt_guard(const relay_adapter& protocol_adapter,
                           metrics::registry& counters)
    : adapter(protocol_adapter), metrics(counters)
{
}

void prompt_guard::handle_lost_replica(const request_id& request,
                                       const net::http_header_list& headers,
                                       const replica_id& replica)
{
    const std::vector<prompt_part_id> parts =
        this->adapter.parse_prompt_parts(headers);
    if (parts.empty())
    {
        return;
    }
    log_event(log_level::info, "replica_lost_under_prompt",
              {{"request", request.str()},
               {"replica", replica.str()},
               {"parts", join(parts)}});
    this->metrics.count("parsleytrack_replicas_lost_under_prompts_total", {});
}

} // namespace parsleytrack::relay
