#include "net/http_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <string_view>
#include <utility>

namespace parsleytrack::net
{

namespace detail
{

void evhtp_deleter::operator()(evhtp* server) const
{
    evhtp_free(server);
}

namespace
{

constexpr int listen_backlog = 1024;

/// Longest head of a request; a longer one is answered with 431.
constexpr std::size_t max_head_bytes = 64 * 1024;
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view head_too_long =
    "HTTP/1.1 431 Request Header Fields Too Large\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
/// How long a connection whose request was refused may stay open.
constexpr timeval refused_timeout{1, 0};

/// What is kept with a connection: the exchange that has not ended yet, and
/// the library's callbacks.
struct connection_state
{
    http_server* owner = nullptr;
    bufferevent_data_cb read_callback = nullptr;
    bufferevent_data_cb write_callback = nullptr;
    bufferevent_event_cb event_callback = nullptr;
    void* callback_argument = nullptr;
    bool refused = false;
    std::shared_ptr<http_exchange> current;
    bool has_request = false;
    bool closed = false;
};

/// The library takes hooks of all kinds as one type.
template <class Hook>
evhtp_hook to_hook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
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

http_request_head read_head(evhtp_request_t* request)
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
    if (uri != nullptr && uri->query != nullptr)
    {
        evhtp_kvs_for_each(uri->query, copy_query_field, &head.query);
    }
    evhtp_kvs_for_each(request->headers_in, copy_header, &head.headers);
    return head;
}

evhtp_res on_read(evhtp_request_t*, evbuffer* buffer, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    const std::size_t length = evbuffer_get_length(buffer);
    if (state->current && length > 0)
    {
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1));
        state->current->receive(std::string_view(data, length));
    }
    evbuffer_drain(buffer, length);
    return EVHTP_RES_OK;
}

void end_exchange(connection_state& state)
{
    const auto exchange = std::move(state.current);
    state.current.reset();
    if (exchange)
    {
        exchange->detach();
    }
}

evhtp_res on_request_fini(evhtp_request_t*, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    state->has_request = false;
    state->owner->request_ended();
    end_exchange(*state);
    if (state->closed)
    {
        delete state;
    }
    return EVHTP_RES_OK;
}

evhtp_res on_headers(evhtp_request_t* request, evhtp_headers_t*, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    if (state->current)
    {
        // A second request before the answer to the first: pipelining could
        // mix up answers, so the connection is closed.
        return EVHTP_RES_FATAL;
    }
    state->current = std::make_shared<http_exchange>(
        request, read_head(request), state->owner->closing_flag());
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           to_hook(on_request_fini), state);
    evhtp_request_set_hook(request, evhtp_hook_on_read, to_hook(on_read),
                           state);
    request->cbarg = state;
    state->has_request = true;
    state->owner->dispatch(state->current);
    return EVHTP_RES_OK;
}

evhtp_res on_connection_fini(evhtp_connection_t*, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    end_exchange(*state);
    state->closed = true;
    // The hook of a request that is under way runs after this one.
    if (!state->has_request)
    {
        delete state;
    }
    return EVHTP_RES_OK;
}

/// \returns Whether the library may read what has come. Its parser repeats
/// bytes of a head that it gets in several pieces, so a head is held back
/// until it is complete.
bool may_read(bufferevent* link, connection_state& state)
{
    evbuffer* input = bufferevent_get_input(link);
    if (state.refused)
    {
        evbuffer_drain(input, evbuffer_get_length(input));
        return false;
    }
    if (state.has_request)
    {
        return true;
    }
    const evbuffer_ptr end =
        evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    if (end.pos >= 0)
    {
        return true;
    }
    if (evbuffer_get_length(input) > max_head_bytes)
    {
        state.refused = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_write(link, head_too_long.data(), head_too_long.size());
        bufferevent_set_timeouts(link, &refused_timeout, &refused_timeout);
    }
    return false;
}

void on_readable(bufferevent* link, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    if (may_read(link, *state))
    {
        state->read_callback(link, state->callback_argument);
    }
}

void on_written(bufferevent* link, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    state->write_callback(link, state->callback_argument);
}

void on_link_event(bufferevent* link, short events, void* argument)
{
    auto* state = static_cast<connection_state*>(argument);
    if (!state->has_request)
    {
        // The library takes it for an error and writes so.
        evhtp_connection_free(
            static_cast<evhtp_connection_t*>(state->callback_argument));
        return;
    }
    state->event_callback(link, events, state->callback_argument);
}

evhtp_res on_accepted(evhtp_connection_t* connection, void* argument)
{
    auto* state = new connection_state;
    state->owner = static_cast<http_server*>(argument);
    int enabled = 1;
    ::setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof(enabled));
    bufferevent* link = evhtp_connection_get_bev(connection);
    bufferevent_getcb(link, &state->read_callback, &state->write_callback,
                      &state->event_callback, &state->callback_argument);
    bufferevent_setcb(link, on_readable, on_written, on_link_event, state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                              to_hook(on_headers), state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              to_hook(on_connection_fini), state);
    return EVHTP_RES_OK;
}

void on_request_complete(evhtp_request_t* request, void*)
{
    auto* state = static_cast<connection_state*>(request->cbarg);
    if (state == nullptr || !state->current)
    {
        return;
    }
    const auto exchange = state->current;
    exchange->receive_end();
}

} // namespace

} // namespace detail

http_server::http_server(event_loop& event_loop)
    : loop(event_loop), server(evhtp_new(event_loop.base(), nullptr))
{
    evhtp_set_gencb(this->server.get(), detail::on_request_complete, nullptr);
    evhtp_set_post_accept_cb(this->server.get(), detail::on_accepted, this);
    evhtp_set_parser_flags(this->server.get(), EVHTP_PARSE_QUERY_FLAG_LENIENT);
}

http_server::~http_server()
{
    this->stop_accepting();
}

result<std::uint16_t> http_server::listen(const endpoint& address)
{
    const int outcome =
        evhtp_bind_socket(this->server.get(), address.host.c_str(),
                          address.port, detail::listen_backlog);
    if (outcome != 0)
    {
        return error{error_code::bad_settings,
                     "cannot listen on " + to_string(address) + ": " +
                         std::strerror(errno),
                     ran_state::no,
                     {}};
    }
    this->accepting = true;
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    const int descriptor =
        static_cast<int>(evconnlistener_get_fd(this->server->server));
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

void http_server::stop_accepting()
{
    if (this->accepting)
    {
        evhtp_unbind_socket(this->server.get());
        this->accepting = false;
    }
}

void http_server::set_handler(handler callback)
{
    this->request_handler = std::move(callback);
}

void http_server::dispatch(const std::shared_ptr<http_exchange>& exchange)
{
    ++this->open_request_count;
    if (this->request_handler)
    {
        this->request_handler(exchange);
    }
}

} // namespace parsleytrack::net
