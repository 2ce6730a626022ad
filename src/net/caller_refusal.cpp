#include "net/caller_refusal.hpp"

#include <array>
#include <cstdio>

namespace parsleytrack::net
{

namespace
{

/// Refused callers return within 0.5 to 1.5 s, not all at once.
constexpr std::size_t min_retry_ms = 500;
constexpr std::size_t retry_span_ms = 1000;
constexpr std::size_t spread_factor = 379;
constexpr std::size_t milliseconds_per_second = 1000;

std::string response(const std::string& status_line, const std::string& fields,
                     const std::string& body)
{
    return "HTTP/1.1 " + status_line +
           "\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\nConnection: close\r\n" + fields +
           "\r\n" + body;
}

std::string error_json(const std::string& reason, const std::string& message)
{
    return R"({"error":{"type":"refused","reason":")" + reason +
           R"(","message":")" + message + R"(","ran":"no"}})";
}

std::string retry_after(std::size_t spread)
{
    const std::size_t wait_ms =
        min_retry_ms + spread * spread_factor % retry_span_ms;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%zu.%03zu",
                  wait_ms / milliseconds_per_second,
                  wait_ms % milliseconds_per_second);
    return text.data();
}

} // namespace

std::string_view to_string(caller_refusal reason)
{
    switch (reason)
    {
    case caller_refusal::head_too_large:
        return "head_too_large";
    case caller_refusal::too_slow:
        return "too_slow";
    case caller_refusal::body_too_large:
        return "body_too_large";
    case caller_refusal::ambiguous_length:
        return "ambiguous_length";
    case caller_refusal::over_budget:
        return "over_budget";
    case caller_refusal::reads_nothing:
        return "reads_nothing";
    case caller_refusal::too_many_connections:
        return "too_many_connections";
    }
    return "";
}

std::string refusal_response(caller_refusal reason, std::size_t spread)
{
    const std::string json = "Content-Type: application/json\r\n";
    switch (reason)
    {
    case caller_refusal::head_too_large:
        return response("431 Request Header Fields Too Large", {}, {});
    case caller_refusal::too_slow:
        return response("408 Request Timeout", {}, {});
    case caller_refusal::body_too_large:
        return response(
            "413 Payload Too Large", json,
            error_json("too_large", "the body is larger than the limit"));
    case caller_refusal::ambiguous_length:
        return response("400 Bad Request", json,
                        error_json("bad_request",
                                   "Content-Length must be one number, or "
                                   "Transfer-Encoding chunked, and not both"));
    case caller_refusal::over_budget:
        return response(
            "503 Service Unavailable",
            json + "Retry-After: " + retry_after(spread) + "\r\n",
            error_json("overloaded", "this node buffers too many bodies"));
    case caller_refusal::reads_nothing:
    case caller_refusal::too_many_connections:
        return {};
    }
    return {};
}

} // namespace parsleytrack::net
