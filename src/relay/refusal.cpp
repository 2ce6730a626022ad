#include "relay/refusal.hpp"

#include "net/error_response.hpp"

#include <array>
#include <cstdio>
#include <string>

namespace parsleytrack::relay
{

namespace
{

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

std::string seconds_text(duration span)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(span).count());
    return text.data();
}

} // namespace

bool promises_not_run(int status)
{
    return status == status_too_many || status == status_unavailable;
}

int refuse(net::http_exchange& exchange, const error& reason)
{
    int status = http_status(reason);
    if (promises_not_run(status) && reason.ran == ran_state::unknown)
    {
        status = status_gateway_timeout;
    }
    net::http_header_list headers{{"Content-Type", "application/json"}};
    if (reason.retry_after && reason.ran == ran_state::no)
    {
        headers.emplace_back("Retry-After", seconds_text(*reason.retry_after));
    }
    exchange.respond(status, headers, error_body(reason));
    return status;
}

} // namespace parsleytrack::relay
