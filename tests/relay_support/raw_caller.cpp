#include "relay_support/raw_caller.hpp"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace parsleytrack::relay_support
{

namespace
{

constexpr duration read_timeout = std::chrono::seconds(10);
constexpr duration poll_interval = std::chrono::milliseconds(5);
constexpr std::size_t buffer_bytes = 4096;

} // namespace

raw_caller::raw_caller(net::event_loop& event_loop, const endpoint& node)
    : loop(event_loop), descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    ::inet_pton(AF_INET, node.host.c_str(), &target.sin_addr);
    target.sin_port = htons(node.port);
    CHECK(::connect(this->descriptor, reinterpret_cast<sockaddr*>(&target),
                    sizeof(target)) == 0);
}

raw_caller::~raw_caller()
{
    ::close(this->descriptor);
}

void raw_caller::send(const std::string& text) const
{
    ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string raw_caller::read_to_end() const
{
    std::string text;
    const time_point limit = net::event_loop::now() + read_timeout;
    while (net::event_loop::now() < limit)
    {
        char buffer[buffer_bytes];
        const ssize_t length =
            ::recv(this->descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length == 0)
        {
            return text;
        }
        if (length > 0)
        {
            text.append(buffer, static_cast<std::size_t>(length));
        }
        if (length < 0 && errno != EAGAIN && errno != EINTR)
        {
            FAIL(("the connection was reset after: " + text).c_str());
        }
        this->loop.run_for(poll_interval);
    }
    FAIL("the connection was not closed");
    return text;
}

} // namespace parsleytrack::relay_support
