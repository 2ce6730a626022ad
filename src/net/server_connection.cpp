#include "net/server_connection.hpp"

#include "logging/log.hpp"
#include "net/http_server.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdlib>
#include <string_view>
#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view head_too_large_response =
    "HTTP/1.1 431 Request Header Fields Too Large\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view request_timeout_response =
    "HTTP/1.1 408 Request Timeout\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
/// How long the connection of a refused request stays open, so that the caller
/// can read the response before a reset. Several round trips.
constexpr timeval refused_connection_timeout{1, 0};

/// libevhtp declares hooks of all signatures as one type.
template <class Hook>
evhtp_hook to_hook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

server_connection* to_connection(void* argument)
{
    return static_cast<server_connection*>(argument);
}

int copy_header(evhtp_kv_t* field, void* argument)
{
    auto* headers = static_cast<http_header_list*>(argument);
    headers->emplace_back(std::string(field->key, field->klen),
                          std::string(field->val, field->vlen));
    return 0;
}

int copy_query_field(evhtp_kv_t* field, void* argument)
{
    auto* query = static_cast<std::map<std::string, std::string>*>(argument);
    const char* text = field->val == nullptr ? "" : field->val;
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(
        evhttp_uridecode(text, 1, &length), &std::free);
    std::string value(decoded ? decoded.get() : "", decoded ? length : 0);
    (*query)[std::string(field->key, field->klen)] = std::move(value);
    return 0;
}

const char* method_name(htp_method method)
{
    switch (method)
    {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_PATCH:
        return "PATCH";
    case htp_method_OPTIONS:
        return "OPTIONS";
    default:
        return "OTHER";
    }
}

/// \param target The target in the request line as received.
http_request_head read_head(evhtp_request_t* request, std::string_view target)
{
    http_request_head head;
    head.method = method_name(request->method);
    const evhtp_uri_t* uri = request->uri;
    if (uri != nullptr && uri->path != nullptr && uri->path->full != nullptr)
    {
        head.path = uri->path->full;
    }
    if (uri != nullptr && uri->query_raw != nullptr)
    {
        head.raw_query = reinterpret_cast<const char*>(uri->query_raw);
    }
    // libevhtp does not report a query without any character.
    head.has_query = !head.raw_query.empty() || target == head.path + "?";
    if (uri != nullptr && uri->query != nullptr)
    {
        evhtp_kvs_for_each(uri->query, copy_query_field, &head.query);
    }
    evhtp_kvs_for_each(request->headers_in, copy_header, &head.headers);
    return head;
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

void server_connection::attach(http_server& owner,
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
}

server_connection::server_connection(http_server& server,
                                     evhtp_connection_t* handle)
    : owner(server), connection(handle), link(evhtp_connection_get_bev(handle)),
      waiting_since(event_loop::now())
{
    this->owner.add_connection(*this);
}

server_connection::~server_connection()
{
    this->owner.remove_connection(*this);
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
        evbuffer_drain(input, evbuffer_get_length(input));
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
    const auto limit =
        static_cast<std::size_t>(this->owner.limits().max_head.count());
    const evbuffer_ptr end =
        evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    const std::size_t length = end.pos >= 0 ? static_cast<std::size_t>(end.pos)
                                            : evbuffer_get_length(input);
    if (length > limit)
    {
        this->refuse(head_too_large_response);
        return false;
    }
    if (end.pos >= 0)
    {
        this->read_target(input);
    }
    return end.pos >= 0;
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

void server_connection::refuse(std::string_view response)
{
    log_event(log_level::info, "caller_refused",
              {{"answer", std::string(response.substr(0, response.find('\r')))},
               {"waited_ms",
                to_milliseconds(event_loop::now() - this->waiting_since)}});
    this->refused = true;
    this->end_exchange();
    evbuffer* input = bufferevent_get_input(this->link);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_write(this->link, response.data(), response.size());
    bufferevent_set_timeouts(this->link, &refused_connection_timeout,
                             &refused_connection_timeout);
}

void server_connection::enforce_timeouts(time_point now)
{
    if (this->refused || (this->has_request && this->body_complete))
    {
        return;
    }
    const connection_limits& limits = this->owner.limits();
    const bool reads_head = !this->has_request && this->has_partial_head;
    const duration limit =
        reads_head ? limits.head_timeout : limits.idle_timeout;
    if (limit <= duration::zero() || now - this->waiting_since <= limit)
    {
        return;
    }
    if (this->has_request || reads_head)
    {
        this->refuse(request_timeout_response);
        return;
    }
    this->close();
}

evhtp_res server_connection::handle_head(evhtp_request_t* request)
{
    if (this->current)
    {
        // A second request before the response to the first: pipelining could
        // mix up responses, so the connection is closed.
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
    this->has_partial_head = false;
    this->owner.dispatch(this->current);
    return EVHTP_RES_OK;
}

void server_connection::handle_body(evbuffer* buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    if (this->current && length > 0)
    {
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1));
        this->current->receive(std::string_view(data, length));
    }
    evbuffer_drain(buffer, length);
}

void server_connection::handle_request_complete()
{
    this->body_complete = true;
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
    }
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
