#include "relay_support/raw_caller.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace parsleytrack::relay_support
{

namespace
{

constexpr duration read_timeout = std::chrono::seconds(10);
constexpr duration read_interval = std::chrono::milliseconds(5);
constexpr std::size_t buffer_bytes = 4096;

} // namespace

raw_caller::raw_caller(net::event_loop& event_loop, const endpoint& node)
    : loop(event_loop), descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    ::inet_pton(AF_INET, node.host.c_str(), &target.sin_addr);
    target.sin_port = htons(node.port);
    if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&target),
                  sizeof(target)) != 0)
    {
        ::close(this->descriptor);
        throw std::runtime_error("cannot connect to " + to_string(node));
    }
}

raw_caller::~raw_caller()
{
    ::close(this->descriptor);
}

void raw_caller::send(const std::string& text) const
{
    ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
}

raw_caller::read_result raw_caller::read_all()
{
    const time_point limit = net::event_loop::now() + read_timeout;
    while (net::event_loop::now() < limit)
    {
        const read_result outcome = this->read();
        if (outcome == read_result::end || outcome == read_result::reset)
        {
            return outcome;
        }
        this->loop.run_for(read_interval);
    }
    throw std::runtime_error("the connection was not closed");
}

std::string raw_caller::read_to_end()
{
    if (this->read_all() == read_result::reset)
    {
        throw std::runtime_error("the connection was reset after: " +
                                 this->received);
    }
    return this->received;
}

std::string raw_caller::read_until_lost()
{
    this->read_all();
    return this->received;
}

bool raw_caller::read_until(const std::string& wanted)
{
    const time_point limit = net::event_loop::now() + read_timeout;
    while (this->received.find(wanted) == std::string::npos)
    {
        const read_result outcome = this->read();
        if (outcome == read_result::end || outcome == read_result::reset ||
            net::event_loop::now() > limit)
        {
            return this->received.find(wanted) != std::string::npos;
        }
        this->loop.run_for(read_interval);
    }
    return true;
}

raw_caller::read_result raw_caller::read()
{
    std::array<char, buffer_bytes> buffer{};
    const ssize_t length =
        ::recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (length > 0)
    {
        this->received.append(buffer.data(), static_cast<std::size_t>(length));
        return read_result::bytes;
    }
    if (length == 0)
    {
        return read_result::end;
    }
    const bool waits = errno == EAGAIN || errno == EINTR;
    return waits ? read_result::nothing : read_result::reset;
}

} // namespace parsleytrack::relay_support
