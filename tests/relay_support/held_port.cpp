#include "relay_support/held_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace parsleytrack::relay_support
{

held_port::held_port(const endpoint& address)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &bound.sin_addr);
    // Another socket may listen on the port again before this one is closed.
    const int enabled = 1;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof(enabled));
    if (::bind(this->descriptor, reinterpret_cast<sockaddr*>(&bound),
               sizeof(bound)) != 0)
    {
        ::close(this->descriptor);
        throw std::runtime_error("cannot hold " + to_string(address));
    }
}

held_port::~held_port()
{
    ::close(this->descriptor);
}

} // namespace parsleytrack::relay_support
