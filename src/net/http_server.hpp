#pragma once

#include "net/body_budget.hpp"
#include "net/caller_refusal.hpp"
#include "net/connection_limits.hpp"
#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"

#include <cstddef>
#include <functional>
#include <memory>

struct evhtp;
struct evhtp_connection;

namespace parsleytrack::net
{

namespace detail
{
struct evhtp_deleter
{
    void operator()(evhtp* server) const;
};
class connection_table;
class server_connection;
} // namespace detail

/// An HTTP/1.1 server on the event loop.
class http_server
{
public:
    /// Called when a request's head is complete. The handler chooses how to
    /// read the body and keeps the exchange until it has responded.
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    explicit http_server(event_loop& event_loop);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts accepting connections.
    ///
    /// \param address The address; port 0 selects a free port.
    /// \returns The port, or error_code::bad_settings if the address cannot be
    /// bound.
    result<std::uint16_t> listen(const endpoint& address);

    /// Closes the listening socket; open connections stay open.
    void stop_accepting();

    /// Sets the limits of new and of already open connections.
    void set_limits(const connection_limits& limits);

    const connection_limits& limits() const { return this->current_limits; }

    /// Sets the budget for what all connections together buffer.
    void set_body_budget(const body_budget::limits& limits);

    /// \param callback Called with each request or connection that is refused
    /// because of the limits or the budget.
    void on_refusal(std::function<void(caller_refusal)> callback);

    /// \returns Bytes of bodies, unread input and unsent output.
    std::size_t buffered_bytes() const;

    /// Makes every response that starts from now on close its connection, so
    /// that callers send no further request on it.
    void close_after_responses() { *this->closing = true; }

    /// \returns Number of requests without a complete response.
    std::size_t open_requests() const { return this->open_request_count; }

    /// \returns Number of connections on which part of a request's head has
    /// arrived.
    std::size_t partial_heads() const;

    bool is_accepting() const { return this->accepting; }

    /// \param callback Called for every request.
    void set_handler(handler callback);

    /// For connections only.
    void dispatch(const std::shared_ptr<http_exchange>& exchange);
    void request_ended() { --this->open_request_count; }
    std::shared_ptr<const bool> closing_flag() const { return this->closing; }
    void accept(evhtp_connection& connection);
    detail::connection_table& connections() { return *this->table; }

private:
    void enforce_timeouts();
    bool has_limits() const;

    event_loop& loop;
    /// Outlives the connections, which libevhtp frees with the server.
    std::unique_ptr<detail::connection_table> table;
    std::unique_ptr<evhtp, detail::evhtp_deleter> server;
    handler request_handler;
    connection_limits current_limits;
    timer timeout_check_timer;
    bool accepting = false;
    std::shared_ptr<bool> closing = std::make_shared<bool>(false);
    std::size_t open_request_count = 0;
};

} // namespace parsleytrack::net
