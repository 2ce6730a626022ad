#include "relay_support/fault_proxy.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

constexpr duration flush_interval = std::chrono::milliseconds(10);
constexpr duration delay = std::chrono::milliseconds(120);

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

fault_proxy::side& to_side(void* argument)
{
    return *static_cast<fault_proxy::side*>(argument);
}

void watch(fault_proxy::side& side)
{
    bufferevent_setcb(
        side.link,
        [](bufferevent*, void* argument)
        { to_side(argument).owner->read(to_side(argument)); },
        nullptr,
        [](bufferevent*, short events, void* argument)
        {
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            {
                to_side(argument).owner->end(to_side(argument));
            }
        },
        &side);
    bufferevent_enable(side.link, EV_READ | EV_WRITE);
}

/// Drops all packets that arrive at a socket before TCP sees them.
void drop_incoming_packets(int descriptor)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof(program));
}

void accept_incoming_packets(int descriptor)
{
    const int unused = 0;
    ::setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                 sizeof(unused));
}

} // namespace

fault_proxy::fault_proxy(net::event_loop& event_loop, endpoint target_address)
    : loop(event_loop), target(std::move(target_address)),
      listener(event_loop, [this](int descriptor) { this->accept(descriptor); })
{
    this->flush_timer =
        this->loop.call_every(flush_interval, [this] { this->flush(); });
}

fault_proxy::~fault_proxy()
{
    for (const auto& connection : this->connections)
    {
        bufferevent_free(connection->client.link);
        bufferevent_free(connection->server.link);
    }
}

void fault_proxy::set_fault(fault next)
{
    this->set_dropping(next == fault::unreachable);
    this->current_fault = next;
    if (next == fault::reset)
    {
        for (const auto& connection : std::exchange(this->connections, {}))
        {
            this->reset(*connection);
        }
    }
}

void fault_proxy::set_dropping(bool dropping)
{
    const auto apply =
        dropping ? &drop_incoming_packets : &accept_incoming_packets;
    apply(this->listener.descriptor());
    for (const auto& connection : this->connections)
    {
        apply(bufferevent_getfd(connection->client.link));
    }
}

void fault_proxy::silence_open_connections()
{
    for (const auto& connection : this->connections)
    {
        drop_incoming_packets(bufferevent_getfd(connection->client.link));
        connection->client.silent = true;
        connection->server.silent = true;
    }
}

void fault_proxy::accept(int descriptor)
{
    auto connection = std::make_unique<pair>();
    pair& new_pair = *connection;
    new_pair.client.link = bufferevent_socket_new(this->loop.base(), descriptor,
                                                  BEV_OPT_CLOSE_ON_FREE);
    new_pair.server.link =
        bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (this->current_fault == fault::reset)
    {
        this->reset(new_pair);
        return;
    }
    new_pair.client.owner = this;
    new_pair.client.other = &new_pair.server;
    new_pair.client.to_server = true;
    new_pair.server.owner = this;
    new_pair.server.other = &new_pair.client;
    watch(new_pair.client);
    watch(new_pair.server);
    sockaddr_in address = loopback(this->target.port);
    bufferevent_socket_connect(new_pair.server.link,
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    this->connections.push_back(std::move(connection));
}

void fault_proxy::read(side& from)
{
    evbuffer* input = bufferevent_get_input(from.link);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (this->current_fault == fault::repeating)
    {
        this->repeat_response(from, bytes);
    }
    const bool is_delayed = this->current_fault == fault::delayed;
    from.pending.emplace_back(net::event_loop::now() +
                                  (is_delayed ? delay : duration::zero()),
                              std::move(bytes));
    this->flush(from);
}

void fault_proxy::repeat_response(side& from, const std::string& bytes)
{
    if (!from.to_server)
    {
        from.last_response += bytes;
        return;
    }
    const std::string repeated = std::exchange(from.other->last_response, {});
    bufferevent_write(from.link, repeated.data(), repeated.size());
}

void fault_proxy::end(side& from)
{
    from.ended = true;
}

bool fault_proxy::is_blocked(const side& from) const
{
    return from.silent || this->current_fault == fault::blocked ||
           this->current_fault == fault::unreachable ||
           (this->current_fault == fault::blocked_to_server &&
            from.to_server) ||
           (this->current_fault == fault::blocked_to_client && !from.to_server);
}

void fault_proxy::flush()
{
    for (auto entry = this->connections.begin();
         entry != this->connections.end();)
    {
        pair& connection = **entry;
        this->flush(connection.client);
        this->flush(connection.server);
        const auto is_over = [this](const side& from)
        {
            return from.ended && from.pending.empty() &&
                   !this->is_blocked(from) &&
                   evbuffer_get_length(
                       bufferevent_get_output(from.other->link)) == 0;
        };
        if (is_over(connection.client) || is_over(connection.server))
        {
            bufferevent_free(connection.client.link);
            bufferevent_free(connection.server.link);
            entry = this->connections.erase(entry);
            continue;
        }
        ++entry;
    }
}

void fault_proxy::flush(side& from)
{
    const time_point now = net::event_loop::now();
    while (!this->is_blocked(from) && !from.pending.empty() &&
           from.pending.front().first <= now)
    {
        const std::string& bytes = from.pending.front().second;
        bufferevent_write(from.other->link, bytes.data(), bytes.size());
        from.pending.pop_front();
    }
}

void fault_proxy::reset(pair& connection)
{
    const linger abortive{1, 0};
    for (const side* end : {&connection.client, &connection.server})
    {
        const int descriptor = bufferevent_getfd(end->link);
        if (descriptor >= 0)
        {
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abortive,
                         sizeof(abortive));
        }
        bufferevent_free(end->link);
    }
}

} // namespace parsleytrack::relay_support
