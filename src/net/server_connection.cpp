#include "net/server_connection.hpp"

#include "net/connection_table.hpp"
#include "net/http_server.hpp"
#include "net/server_request_head.hpp"

#include <event2/buffer.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <string_view>
#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

/// libevhtp declares hooks of all signatures as one type.
template <class Hook>
evhtp_hook to_hook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

/// \returns The address of a socket's peer without the port; empty if it is
/// not connected any more.
std::string peer_address(int descriptor)
{
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    auto* const address = reinterpret_cast<sockaddr*>(&peer);
    std::array<char, NI_MAXHOST> text{};
    if (::getpeername(descriptor, address, &length) != 0 ||
        ::getnameinfo(address, length, text.data(), text.size(), nullptr, 0,
                      NI_NUMERICHOST) != 0)
    {
        return {};
    }
    return text.data();
}

server_connection* to_connection(void* argument)
{
    return static_cast<server_connection*>(argument);
}

evhtp_res on_body(evhtp_request_t*, evbuffer* buffer, void* argument)
{
    to_connection(argument)->handle_body(buffer);
    return EVHTP_RES_OK;
}

evhtp_res on_request_fini(evhtp_request_t*, void* argument)
{
    to_connection(argument)->handle_request_fini();
    return EVHTP_RES_OK;
}

evhtp_res on_headers(evhtp_request_t* request, evhtp_headers_t*, void* argument)
{
    return to_connection(argument)->handle_head(request);
}

evhtp_res on_connection_fini(evhtp_connection_t*, void* argument)
{
    to_connection(argument)->handle_connection_fini();
    return EVHTP_RES_OK;
}

} // namespace

connection_number server_connection::attach(http_server& owner,
                                            evhtp_connection_t* connection)
{
    // Owned by the libevhtp connection, whose last hook deletes it.
    auto* attached = new server_connection(owner, connection);
    int enabled = 1;
    ::setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof(enabled));
    bufferevent_getcb(attached->link, &attached->read_callback,
                      &attached->write_callback, &attached->event_callback,
                      &attached->callback_argument);
    bufferevent_setcb(
        attached->link,
        [](bufferevent*, void* argument)
        { to_connection(argument)->handle_readable(); },
        [](bufferevent*, void* argument)
        { to_connection(argument)->handle_written(); },
        [](bufferevent*, short events, void* argument)
        { to_connection(argument)->handle_event(events); },
        attached);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                              to_hook(on_headers), attached);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              to_hook(on_connection_fini), attached);
    return attached->number;
}

server_connection::server_connection(http_server& server,
                                     evhtp_connection_t* handle)
    : owner(server), connection(handle), link(evhtp_connection_get_bev(handle)),
      number(server.connections().add(*this, peer_address(handle->sock))),
      waiting_since(event_loop::now())
{
    this->limit_input();
}

server_connection::~server_connection()
{
    this->owner.connections().remove(this->number);
}

void server_connection::handle_readable()
{
    if (this->may_read())
    {
        this->read_callback(this->link, this->callback_argument);
    }
}

void server_connection::handle_written()
{
    this->report_buffers(0);
    if (this->refused && !this->has_request)
    {
        // libevhtp has no request here and would report the response as an
        // error.
        return;
    }
    this->write_callback(this->link, this->callback_argument);
}

void server_connection::handle_event(short events)
{
    if (!this->has_request)
    {
        // libevhtp would log the end of a connection without a request as an
        // error.
        this->close();
        return;
    }
    this->event_callback(this->link, events, this->callback_argument);
}

/// \returns Whether libevhtp may read the buffered input. Its parser duplicates
/// bytes of a head that arrives in several pieces, so a head is buffered here
/// until it is complete.
bool server_connection::may_read()
{
    evbuffer* input = bufferevent_get_input(this->link);
    if (this->refused)
    {
        this->discard(input);
        return false;
    }
    if (this->has_request)
    {
        this->waiting_since = event_loop::now();
        return true;
    }
    if (!this->has_partial_head)
    {
        this->has_partial_head = true;
        this->waiting_since = event_loop::now();
    }
    return this->may_read_head(input);
}

void server_connection::read_target(evbuffer* input)
{
    this->target.clear();
    const evbuffer_ptr end =
        evbuffer_search_eol(input, nullptr, nullptr, EVBUFFER_EOL_CRLF_STRICT);
    if (end.pos <= 0)
    {
        return;
    }
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_copyout(input, line.data(), line.size());
    const std::size_t begin = line.find(' ');
    const std::size_t target_end = line.rfind(' ');
    if (begin != std::string::npos && target_end > begin)
    {
        this->target = line.substr(begin + 1, target_end - begin - 1);
    }
}

evhtp_res server_connection::handle_head(evhtp_request_t* request)
{
    if (this->current)
    {
        // A second request before the response to the first: pipelining could
        // mix up responses, so the connection is closed.
        return EVHTP_RES_FATAL;
    }
    if (this->reads_too_little())
    {
        this->owner.connections().count_refusal(caller_refusal::reads_nothing,
                                                {}, duration::zero());
        return EVHTP_RES_FATAL;
    }
    this->current = std::make_shared<http_exchange>(
        request, read_head(request, this->target), this->owner.closing_flag());
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           to_hook(on_request_fini), this);
    evhtp_request_set_hook(request, evhtp_hook_on_read, to_hook(on_body), this);
    request->cbarg = this;
    this->has_request = true;
    this->body_complete = false;
    this->body_bytes = 0;
    this->has_partial_head = false;
    this->owner.dispatch(this->current);
    return EVHTP_RES_OK;
}

void server_connection::handle_body(evbuffer* buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    this->body_bytes += length;
    if (!this->ignores_body && this->is_over_body_limit(this->body_bytes))
    {
        this->owner.connections().refuse_later(this->number,
                                               caller_refusal::body_too_large);
    }
    if (this->current && length > 0 && !this->ignores_body)
    {
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1));
        this->current->receive(std::string_view(data, length));
        this->report_buffers(length);
    }
    evbuffer_drain(buffer, length);
}

void server_connection::handle_request_complete()
{
    if (this->ignores_body)
    {
        return;
    }
    this->body_complete = true;
    this->report_buffers(0);
    if (this->current)
    {
        const auto exchange = this->current;
        exchange->receive_end();
    }
}

void server_connection::handle_request_fini()
{
    this->has_request = false;
    this->waiting_since = event_loop::now();
    this->owner.request_ended();
    this->end_exchange();
    if (this->closed)
    {
        delete this;
        return;
    }
    this->report_buffers(0);
}

void server_connection::handle_connection_fini()
{
    this->end_exchange();
    this->closed = true;
    // The hook of a request in progress runs after this one.
    if (!this->has_request)
    {
        delete this;
    }
}

void server_connection::end_exchange()
{
    const auto exchange = std::move(this->current);
    this->current.reset();
    if (exchange)
    {
        exchange->detach();
    }
}

void server_connection::close()
{
    evhtp_connection_free(this->connection);
}

} // namespace parsleytrack::net::detail
