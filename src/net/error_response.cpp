#include "net/error_response.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleytrack
{

namespace
{

constexpr int milliseconds_per_second = 1000;

} // namespace

int http_status(const error& reason)
{
    switch (reason.code)
    {
    case error_code::bad_request:
        return 400;
    case error_code::unauthorized:
        return 401;
    case error_code::bad_settings:
        return 422;
    case error_code::too_large:
        return 413;
    case error_code::not_found:
    case error_code::unknown_service:
    case error_code::unknown_model:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::overloaded:
    case error_code::workspace_limit:
        return 429;
    case error_code::deadline_exceeded:
        return 504;
    case error_code::backend_failed:
    case error_code::connection_lost:
    case error_code::may_have_run:
        return 502;
    case error_code::internal:
    case error_code::corrupt_data:
    case error_code::storage_failed:
        return 500;
    default:
        return 503;
    }
}

std::string error_body(const error& reason)
{
    const bool refused = reason.ran == ran_state::no;
    nlohmann::json detail{{"type", refused ? "refused" : "failed"},
                          {"reason", to_string(reason.code)},
                          {"message", reason.message},
                          {"ran", to_string(reason.ran)}};
    detail["retry_after_ms"] = nullptr;
    if (reason.retry_after)
    {
        detail["retry_after_ms"] = to_milliseconds(*reason.retry_after);
    }
    using replace = nlohmann::json::error_handler_t;
    return nlohmann::json{{"error", detail}}.dump(-1, ' ', false,
                                                  replace::replace);
}

void respond_error(net::http_exchange& exchange, const error& reason)
{
    net::http_header_list headers{{"Content-Type", "application/json"}};
    if (reason.retry_after)
    {
        const auto wait_ms = to_milliseconds(*reason.retry_after);
        const auto wait_s =
            (wait_ms + milliseconds_per_second - 1) / milliseconds_per_second;
        headers.emplace_back("Retry-After",
                             std::to_string(std::max<std::int64_t>(1, wait_s)));
    }
    exchange.respond(http_status(reason), headers, error_body(reason));
}

} // namespace parsleytrack
