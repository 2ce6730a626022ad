#pragma once

#include <optional>
#include <string>
#include <utility>

namespace parsleytrack::relay_support
{

/// \returns The value of a header field, empty when it is missing.
inline std::string header_field(const std::string& text,
                                const std::string& name)
{
    const std::size_t begin = text.find(name + ": ");
    if (begin == std::string::npos)
    {
        return {};
    }
    const std::size_t value = begin + name.size() + 2;
    return text.substr(value, text.find('\r', value) - value);
}

/// Removes the first request, head and body, from the bytes of a connection.
///
/// \returns The request; absent while it is incomplete.
inline std::optional<std::string> take_request(std::string& received)
{
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string body_length =
        header_field(received.substr(0, end + 2), "Content-Length");
    const std::size_t request_bytes =
        end + 4 + (body_length.empty() ? 0 : std::stoul(body_length));
    if (received.size() < request_bytes)
    {
        return std::nullopt;
    }
    std::string request = received.substr(0, request_bytes);
    received.erase(0, request_bytes);
    return request;
}

} // namespace parsleytrack::relay_support
