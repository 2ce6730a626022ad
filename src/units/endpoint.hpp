#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace parsleytrack
{

/// An IPv4 address and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// \returns "host:port", for logs and messages.
std::string to_string(const endpoint& target);

} // namespace parsleytrack
