#include "units/endpoint_parser.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace parsleytrack
{

bool parse_endpoint(const std::string& text, endpoint& parsed)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    const std::string host = text.substr(0, colon);
    in_addr address{};
    // The C function reads up to the first null byte only.
    if (host.find('\0') != std::string::npos ||
        ::inet_pton(AF_INET, host.c_str(), &address) != 1)
    {
        return false;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto outcome = std::from_chars(text.data() + colon + 1, end, port);
    if (outcome.ec != std::errc() || outcome.ptr != end || port == 0)
    {
        return false;
    }
    parsed = endpoint{host, port};
    return true;
}

} // namespace parsleytrack
