#include "net/bound_port.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace parsleytrack::net
{

std::uint16_t bound_port(int descriptor)
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

} // namespace parsleytrack::net
