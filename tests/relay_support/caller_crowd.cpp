#include "relay_support/caller_crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

constexpr duration send_timeout = std::chrono::seconds(20);
constexpr duration round_interval = std::chrono::milliseconds(1);
constexpr duration poll_interval = std::chrono::milliseconds(50);
constexpr std::size_t buffer_bytes = 4096;

} // namespace

caller_crowd::caller_crowd(net::event_loop& event_loop, endpoint address,
                           std::size_t piece_bytes)
    : loop(event_loop), node(std::move(address)), piece(piece_bytes)
{
}

caller_crowd::~caller_crowd()
{
    for (const caller& member : this->callers)
    {
        ::close(member.descriptor);
    }
}

void caller_crowd::add(std::size_t count,
                       std::shared_ptr<const std::string> text)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    ::inet_pton(AF_INET, this->node.host.c_str(), &target.sin_addr);
    target.sin_port = htons(this->node.port);
    for (std::size_t number = 0; number < count; ++number)
    {
        caller member{::socket(AF_INET, SOCK_STREAM, 0), text, 0};
        this->bind_address(member.descriptor);
        this->callers.push_back(member);
        if (::connect(member.descriptor, reinterpret_cast<sockaddr*>(&target),
                      sizeof(target)) != 0)
        {
            throw std::runtime_error("cannot connect to " +
                                     to_string(this->node));
        }
        ::fcntl(member.descriptor, F_SETFL, O_NONBLOCK);
    }
}

void caller_crowd::bind_address(int descriptor) const
{
    if (this->address_count == 1)
    {
        return;
    }
    constexpr std::uint32_t first_address = 0x7f000010;
    sockaddr_in source{};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr =
        htonl(first_address + static_cast<std::uint32_t>(this->callers.size() %
                                                         this->address_count));
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&source),
               sizeof(source)) != 0)
    {
        throw std::runtime_error("cannot bind an address of the crowd");
    }
}

void caller_crowd::send_all()
{
    const time_point limit = net::event_loop::now() + send_timeout;
    bool unsent = true;
    while (unsent && net::event_loop::now() < limit)
    {
        unsent = false;
        for (caller& member : this->callers)
        {
            unsent = this->send_piece(member) || unsent;
        }
        this->loop.run_for(round_interval);
    }
    while (this->unread_bytes() > 0 && net::event_loop::now() < limit)
    {
        this->loop.run_for(poll_interval);
    }
}

std::size_t caller_crowd::unread_bytes() const
{
    in_addr address{};
    ::inet_pton(AF_INET, this->node.host.c_str(), &address);
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "%08X:%04X", address.s_addr,
                  static_cast<unsigned>(this->node.port));
    std::size_t sum = 0;
    std::ifstream sockets("/proc/net/tcp");
    // A line has a number, the local and the remote address, the state, and the
    // bytes that wait to be sent and to be read, as "00000000:00000000".
    for (std::string line; std::getline(sockets, line);)
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr int hexadecimal = 16;
        if (local == name.data())
        {
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr,
                              hexadecimal);
        }
        else if (remote == name.data())
        {
            sum += std::stoul(queues, nullptr, hexadecimal);
        }
    }
    return sum;
}

bool caller_crowd::send_piece(caller& member) const
{
    const std::string& text = *member.text;
    if (member.sent == text.size())
    {
        return false;
    }
    const ssize_t length =
        ::send(member.descriptor, text.data() + member.sent,
               std::min(this->piece, text.size() - member.sent), MSG_NOSIGNAL);
    const bool failed = length < 0 && errno != EAGAIN && errno != EINTR;
    if (failed || reads_end(member))
    {
        member.sent = text.size();
        return false;
    }
    member.sent += length > 0 ? static_cast<std::size_t>(length) : 0;
    return member.sent < text.size();
}

bool caller_crowd::reads_end(const caller& member)
{
    std::array<char, buffer_bytes> buffer{};
    return ::recv(member.descriptor, buffer.data(), buffer.size(), 0) == 0;
}

} // namespace parsleytrack::relay_support
