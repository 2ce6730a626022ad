#include "wire/peer_connection.hpp"

#include "net/tcp_keepalive.hpp"
#include "wire/codec.hpp"
#include "wire/failure_conversion.hpp"
#include "wire/generated/frame_types.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace parsleytrack::wire::detail
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
constexpr std::uint32_t max_frame_bytes = 32 * 1024 * 1024;
/// How long another node may be unreachable before its connection is closed.
constexpr std::chrono::seconds unreachable_limit{3};

void set_no_delay(int descriptor)
{
    int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof(enabled));
}

} // namespace

void bufferevent_deleter::operator()(bufferevent* link) const
{
    bufferevent_free(link);
}

peer_connection::peer_connection(peer_network& owner, int descriptor)
    : network(owner), link(bufferevent_socket_new(
                          owner.loop().base(), descriptor,
                          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      connected(descriptor >= 0)
{
    bufferevent_setcb(
        this->link.get(),
        [](bufferevent*, void* argument)
        { static_cast<peer_connection*>(argument)->handle_input(); },
        nullptr,
        [](bufferevent*, short events, void* argument)
        { static_cast<peer_connection*>(argument)->handle_event(events); },
        this);
    bufferevent_enable(this->link.get(), EV_READ | EV_WRITE);
    if (descriptor >= 0)
    {
        set_no_delay(descriptor);
        net::enable_tcp_keepalive(descriptor, unreachable_limit);
    }
}

void peer_connection::connect(const endpoint& target)
{
    this->peer_address = to_string(target);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    bufferevent_socket_connect(this->link.get(),
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
}

std::int64_t peer_connection::open_call(message_type type,
                                        std::string_view payload,
                                        duration timeout,
                                        peer_network::callbacks hooks)
{
    const std::int64_t call_id = this->next_call_id++;
    pending_call& call = this->calls[call_id];
    call.hooks = std::move(hooks);
    call.timeout = timeout;
    this->restart_timer(call_id, call);
    frame message;
    message.call_id = call_id;
    message.kind = frame_kind::request;
    message.message_type = static_cast<std::int32_t>(type);
    message.payload = std::string(payload);
    this->send(message);
    return call_id;
}

void peer_connection::cancel_call(std::int64_t call_id)
{
    if (this->calls.erase(call_id) == 0 || this->closed)
    {
        return;
    }
    frame message;
    message.call_id = call_id;
    message.kind = frame_kind::cancel;
    this->send(message);
}

void peer_connection::send(const frame& message)
{
    if (this->closed)
    {
        return;
    }
    const std::string bytes = encode(message);
    const std::uint32_t length =
        htonl(static_cast<std::uint32_t>(bytes.size()));
    evbuffer* output = bufferevent_get_output(this->link.get());
    evbuffer_add(output, &length, length_prefix_bytes);
    evbuffer_add(output, bytes.data(), bytes.size());
    this->network.mutable_counters().frame_bytes_sent +=
        length_prefix_bytes + bytes.size();
}

std::size_t peer_connection::pending_output_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(this->link.get()));
}

void peer_connection::handle_input()
{
    const auto self = this->shared_from_this();
    evbuffer* input = bufferevent_get_input(this->link.get());
    const std::size_t arrived =
        evbuffer_get_length(input) - this->unfinished_input;
    while (!this->closed && evbuffer_get_length(input) >= length_prefix_bytes)
    {
        std::uint32_t length = 0;
        evbuffer_copyout(input, &length, length_prefix_bytes);
        length = ntohl(length);
        if (length > max_frame_bytes)
        {
            this->close("received a frame over the size limit");
            return;
        }
        if (evbuffer_get_length(input) < length_prefix_bytes + length)
        {
            break;
        }
        evbuffer_drain(input, length_prefix_bytes);
        std::string bytes(length, '\0');
        evbuffer_remove(input, bytes.data(), length);
        this->network.mutable_counters().frame_bytes_received +=
            length_prefix_bytes + length;
        result<frame> message = decode<frame>(bytes);
        if (message.has_error())
        {
            this->close(message.error().message);
            return;
        }
        this->network.incoming_links().record_message(*this,
                                                      net::event_loop::now());
        this->handle_frame(std::move(message.value()));
    }
    if (!this->closed)
    {
        this->unfinished_input = evbuffer_get_length(input);
        this->network.incoming_links().record_unfinished(
            *this, this->unfinished_input, arrived, net::event_loop::now());
    }
}

void peer_connection::handle_event(short events)
{
    const auto self = this->shared_from_this();
    if ((events & BEV_EVENT_CONNECTED) != 0)
    {
        this->connected = true;
        set_no_delay(bufferevent_getfd(this->link.get()));
        net::enable_tcp_keepalive(bufferevent_getfd(this->link.get()),
                                  unreachable_limit);
        return;
    }
    this->close("the connection was lost");
}

void peer_connection::handle_frame(frame message)
{
    const std::int64_t call_id = message.call_id;
    switch (message.kind)
    {
    case frame_kind::request:
        this->open_exchange(std::move(message));
        return;
    case frame_kind::cancel:
    {
        const auto found = this->exchanges.find(call_id);
        if (found != this->exchanges.end())
        {
            const auto exchange = std::move(found->second);
            this->exchanges.erase(found);
            exchange->handle_cancel();
        }
        return;
    }
    case frame_kind::part:
    {
        const auto found = this->calls.find(call_id);
        if (found == this->calls.end())
        {
            return;
        }
        this->restart_timer(call_id, found->second);
        // The callback may cancel the call and with it destroy itself.
        const auto callback = found->second.hooks.on_part;
        if (callback)
        {
            callback(std::move(message.payload));
        }
        return;
    }
    case frame_kind::last:
        this->finish_call(call_id, std::move(message.payload));
        return;
    case frame_kind::failure:
        this->finish_call(call_id, decode_failure(message.payload));
        return;
    }
    this->close("received a frame of unknown kind");
}

void peer_connection::open_exchange(frame message)
{
    const auto exchange = std::make_shared<peer_exchange>(
        this->weak_from_this(), message.call_id, std::move(message.payload));
    this->exchanges[message.call_id] = exchange;
    this->network.dispatch(static_cast<message_type>(message.message_type),
                           exchange);
}

void peer_connection::remove_exchange(std::int64_t call_id)
{
    this->exchanges.erase(call_id);
}

void peer_connection::finish_call(std::int64_t call_id,
                                  result<std::string> outcome)
{
    const auto found = this->calls.find(call_id);
    if (found == this->calls.end())
    {
        return;
    }
    pending_call call = std::move(found->second);
    this->calls.erase(found);
    if (call.hooks.on_end)
    {
        call.hooks.on_end(std::move(outcome));
    }
}

void peer_connection::restart_timer(std::int64_t call_id, pending_call& call)
{
    if (call.timeout <= duration::zero())
    {
        return;
    }
    call.timer = this->network.loop().call_after(
        call.timeout,
        [this, call_id]
        {
            const auto self = this->shared_from_this();
            frame message;
            message.call_id = call_id;
            message.kind = frame_kind::cancel;
            this->send(message);
            this->finish_call(call_id, error{error_code::deadline_exceeded,
                                             "node " + this->peer_address +
                                                 " did not respond in time",
                                             ran_state::unknown,
                                             {}});
        });
}

void peer_connection::close(const std::string& why)
{
    if (this->closed)
    {
        return;
    }
    this->closed = true;
    const auto self = this->shared_from_this();
    bufferevent_disable(this->link.get(), EV_READ | EV_WRITE);
    this->network.handle_connection_closed(*this);
    const auto open_exchanges = std::move(this->exchanges);
    this->exchanges.clear();
    for (const auto& [call_id, exchange] : open_exchanges)
    {
        exchange->handle_cancel();
    }
    std::vector<std::int64_t> open_calls;
    for (const auto& [call_id, call] : this->calls)
    {
        open_calls.push_back(call_id);
    }
    const error reason{this->connected ? error_code::connection_lost
                                       : error_code::peer_unreachable,
                       "node " + this->peer_address + ": " + why,
                       this->connected ? ran_state::unknown : ran_state::no,
                       {}};
    for (const std::int64_t call_id : open_calls)
    {
        this->finish_call(call_id, reason);
    }
    // Frees the bufferevent outside of its own callback.
    this->network.loop().post([self] { self->link.reset(); });
}

} // namespace parsleytrack::wire::detail
