#include "net/http_server.hpp"

#include "net/bound_port.hpp"
#include "net/connection_table.hpp"
#include "net/server_connection.hpp"

#include <event2/listener.h>
#include <evhtp.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
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

/// How often connections are checked for timeouts: a fraction of the shortest
/// timeouts in use, which are seconds.
constexpr duration timeout_check_interval = std::chrono::milliseconds(250);

evhtp_res on_accepted(evhtp_connection_t* connection, void* argument)
{
    static_cast<http_server*>(argument)->accept(*connection);
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
    : loop(event_loop),
      table(std::make_unique<detail::connection_table>(event_loop)),
      server(evhtp_new(event_loop.base(), nullptr))
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
    for (const connection_number number : this->table->numbers())
    {
        this->table->find(number)->limit_input();
    }
    if (!this->has_limits())
    {
        this->timeout_check_timer.cancel();
        return;
    }
    this->timeout_check_timer = this->loop.call_every(
        detail::timeout_check_interval, [this] { this->enforce_timeouts(); });
}

bool http_server::has_limits() const
{
    const connection_limits& limits = this->current_limits;
    return limits.head_timeout > duration::zero() ||
           limits.idle_timeout > duration::zero() ||
           limits.max_body > byte_count(0);
}

void http_server::set_body_budget(const body_budget::limits& limits)
{
    this->table->budget.set_limits(limits);
}

void http_server::on_refusal(std::function<void(caller_refusal)> callback)
{
    this->table->on_refusal = std::move(callback);
}

std::size_t http_server::buffered_bytes() const
{
    return this->table->budget.buffered_bytes();
}

std::size_t http_server::partial_heads() const
{
    const auto numbers = this->table->numbers();
    return static_cast<std::size_t>(
        std::count_if(numbers.begin(), numbers.end(),
                      [this](connection_number number)
                      { return this->table->find(number)->reads_head(); }));
}

void http_server::enforce_timeouts()
{
    const time_point now = event_loop::now();
    for (const connection_number number : this->table->numbers())
    {
        if (auto* const connection = this->table->find(number))
        {
            connection->enforce_timeouts(now);
        }
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

void http_server::accept(evhtp_connection& connection)
{
    const connection_number added =
        detail::server_connection::attach(*this, &connection);
    const std::size_t limit = this->current_limits.max_connections;
    if (limit > 0 && this->table->size() > limit)
    {
        this->table->make_room_for(added);
    }
}

} // namespace parsleytrack::net
