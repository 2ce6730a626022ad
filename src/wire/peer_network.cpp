#include "wire/peer_network.hpp"

#include "net/bound_port.hpp"
#include "wire/peer_connection.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace parsleytrack::wire
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 64 * 1024;
constexpr int max_datagrams_per_wakeup = 256;
constexpr int free_port_attempts = 16;

sockaddr_in to_address(const endpoint& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    return address;
}

endpoint from_address(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return endpoint{text.data(), ntohs(address.sin_port)};
}

error listen_error(const endpoint& address)
{
    return error{error_code::bad_settings,
                 "cannot listen on " + to_string(address) + ": " +
                     std::strerror(errno),
                 ran_state::no,
                 {}};
}

} // namespace

void detail::listener_deleter::operator()(evconnlistener* listener) const
{
    evconnlistener_free(listener);
}

peer_network::peer_network(net::event_loop& event_loop)
    : loop_handle(event_loop)
{
}

peer_network::~peer_network()
{
    this->close_datagram_socket();
}

void peer_network::close_datagram_socket()
{
    if (this->datagram_event != nullptr)
    {
        event_free(this->datagram_event);
        this->datagram_event = nullptr;
    }
    if (this->datagram_socket >= 0)
    {
        ::close(this->datagram_socket);
        this->datagram_socket = -1;
    }
}

result<std::uint16_t> peer_network::listen(const endpoint& address)
{
    // A free UDP port may be in use for TCP; then another port is tried.
    const int attempts = address.port == 0 ? free_port_attempts : 1;
    result<std::uint16_t> port = this->try_listen(address);
    for (int attempt = 1; attempt < attempts && port.has_error(); ++attempt)
    {
        port = this->try_listen(address);
    }
    return port;
}

result<std::uint16_t> peer_network::try_listen(const endpoint& address)
{
    const result<std::uint16_t> port = this->open_datagram_socket(address);
    if (port.has_error())
    {
        return port;
    }
    sockaddr_in bound = to_address(endpoint{address.host, port.value()});
    this->listener.reset(evconnlistener_new_bind(
        this->loop_handle.base(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr* source, int,
           void* argument)
        {
            static_cast<peer_network*>(argument)->accept(
                descriptor,
                from_address(*reinterpret_cast<sockaddr_in*>(source)).host);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&bound), sizeof(bound)));
    if (!this->listener)
    {
        const error reason = listen_error(address);
        this->close_datagram_socket();
        return reason;
    }
    return port;
}

result<std::uint16_t>
peer_network::open_datagram_socket(const endpoint& address)
{
    this->datagram_socket =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in bound = to_address(address);
    if (::bind(this->datagram_socket, reinterpret_cast<sockaddr*>(&bound),
               sizeof(bound)) != 0)
    {
        return listen_error(address);
    }
    this->datagram_event = event_new(
        this->loop_handle.base(), this->datagram_socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* argument)
        { static_cast<peer_network*>(argument)->read_datagrams(); },
        this);
    event_add(this->datagram_event, nullptr);
    return net::bound_port(this->datagram_socket);
}

void peer_network::on_call(message_type type, call_handler handler)
{
    this->handlers[type] = std::move(handler);
}

void peer_network::on_datagram(datagram_handler handler)
{
    this->datagram_callback = std::move(handler);
}

std::unique_ptr<peer_call> peer_network::call(const endpoint& target,
                                              message_type type,
                                              std::string_view payload,
                                              duration timeout, callbacks hooks)
{
    const auto connection = this->connect(target, lane_of(type));
    const std::int64_t call_id =
        connection->open_call(type, payload, timeout, std::move(hooks));
    const std::weak_ptr<detail::peer_connection> weak_connection = connection;
    return std::make_unique<peer_call>(
        [weak_connection, call_id]
        {
            if (const auto link = weak_connection.lock())
            {
                link->cancel_call(call_id);
            }
        });
}

std::shared_ptr<detail::peer_connection>
peer_network::connect(const endpoint& target, peer_lane lane)
{
    auto& connection = this->outgoing[{target, lane}];
    if (!connection)
    {
        connection = std::make_shared<detail::peer_connection>(*this, -1);
        connection->connect(target);
    }
    return connection;
}

void peer_network::accept(int descriptor, const std::string& host)
{
    this->incoming.add(
        std::make_shared<detail::peer_connection>(*this, descriptor), host,
        net::event_loop::now());
}

void peer_network::handle_connection_closed(detail::peer_connection& connection)
{
    this->incoming.remove(connection);
    for (auto entry = this->outgoing.begin(); entry != this->outgoing.end();
         ++entry)
    {
        if (entry->second.get() == &connection)
        {
            this->outgoing.erase(entry);
            return;
        }
    }
}

void peer_network::drop_peer(const endpoint& target)
{
    for (const peer_lane lane : {peer_lane::interactive, peer_lane::bulk})
    {
        const auto found = this->outgoing.find({target, lane});
        if (found != this->outgoing.end())
        {
            const auto connection = found->second;
            connection->close("the node is considered dead");
        }
    }
}

void peer_network::dispatch(message_type type,
                            const std::shared_ptr<peer_exchange>& exchange)
{
    const auto found = this->handlers.find(type);
    if (found == this->handlers.end())
    {
        exchange->fail(error{error_code::bad_request,
                             "this node does not support the request type",
                             ran_state::no,
                             {}});
        return;
    }
    found->second(exchange);
}

void peer_network::send_datagram(const endpoint& target, std::string_view bytes)
{
    const sockaddr_in address = to_address(target);
    const ssize_t sent =
        ::sendto(this->datagram_socket, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (sent > 0)
    {
        this->traffic_counters.datagram_bytes_sent +=
            static_cast<std::uint64_t>(sent);
    }
}

void peer_network::read_datagrams()
{
    static std::array<char, receive_buffer_bytes> buffer;
    for (int count = 0; count < max_datagrams_per_wakeup; ++count)
    {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        const ssize_t received =
            ::recvfrom(this->datagram_socket, buffer.data(), buffer.size(), 0,
                       reinterpret_cast<sockaddr*>(&address), &length);
        if (received < 0)
        {
            return;
        }
        this->traffic_counters.datagram_bytes_received +=
            static_cast<std::uint64_t>(received);
        if (this->datagram_callback)
        {
            this->datagram_callback(
                from_address(address),
                std::string_view(buffer.data(),
                                 static_cast<std::size_t>(received)));
        }
    }
}

} // namespace parsleytrack::wire
