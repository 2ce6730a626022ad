#include "net/http_server.hpp"

#include "net/bound_port.hpp"
#include "net/server_connection.hpp"

#include <event2/listener.h>
#include <evhtp.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

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

/// How often connections are checked for timeouts: a fraction of the shortest
/// timeouts in use, which are seconds.
constexpr duration timeout_check_interval = std::chrono::milliseconds(250);

evhtp_res on_accepted(evhtp_connection_t* connection, void* argument)
{
    server_connection::attach(*static_cast<http_server*>(argument), connection);
    return EVHTP_RES_OK;
}

void on_request_complete(evhtp_request_t* request, void*)
{
    auto* connection = static_cast<server_connection*>(request->cbarg);
    if (connection != nullptr)
    {
        connection->handle_request_complete();
    }
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
    return bound_port(
        static_cast<int>(evconnlistener_get_fd(this->server->server)));
}

void http_server::stop_accepting()
{
    if (this->accepting)
    {
        evhtp_unbind_socket(this->server.get());
        this->accepting = false;
    }
}

void http_server::set_limits(const connection_limits& limits)
{
    this->current_limits = limits;
    if (limits.head_timeout <= duration::zero() &&
        limits.idle_timeout <= duration::zero())
    {
        this->timeout_check_timer.cancel();
        return;
    }
    this->timeout_check_timer = this->loop.call_every(
        detail::timeout_check_interval, [this] { this->enforce_timeouts(); });
}

std::size_t http_server::partial_heads() const
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](const detail::server_connection* connection)
                      { return connection->reads_head(); }));
}

void http_server::enforce_timeouts()
{
    const time_point now = event_loop::now();
    // Iterates over a copy, since a closed connection leaves the set.
    const std::vector<detail::server_connection*> checked(
        this->connections.begin(), this->connections.end());
    for (detail::server_connection* connection : checked)
    {
        connection->enforce_timeouts(now);
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

void http_server::add_connection(detail::server_connection& connection)
{
    this->connections.insert(&connection);
}

void http_server::remove_connection(detail::server_connection& connection)
{
    this->connections.erase(&connection);
}

} // namespace parsleytrack::net
