#pragma once

#include "net/http_exchange.hpp"
#include "units/time.hpp"

#include <event2/bufferevent.h>
#include <evhtp.h>

#include <memory>
#include <string>

namespace parsleytrack::net
{

class http_server;

namespace detail
{

/// One connection of a server: dispatches its requests and enforces the
/// server's limits. It deletes itself when libevhtp frees the connection.
class server_connection
{
public:
    /// Creates the object for a newly accepted connection.
    static void attach(http_server& owner, evhtp_connection_t* connection);

    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Ends the connection if it has exceeded a time limit.
    void enforce_timeouts(time_point now);

    /// \returns Whether part of a request's head has arrived and the rest is
    /// still accepted.
    bool reads_head() const { return this->has_partial_head && !this->refused; }

    /// For the libevhtp hooks only.
    void handle_readable();
    void handle_written();
    void handle_event(short events);
    evhtp_res handle_head(evhtp_request_t* request);
    void handle_body(evbuffer* buffer);
    void handle_request_complete();
    void handle_request_fini();
    void handle_connection_fini();

private:
    server_connection(http_server& server, evhtp_connection_t* handle);

    bool may_read();
    /// Keeps the target of the request whose head begins the input.
    void read_target(evbuffer* input);
    void refuse(std::string_view response);
    void end_exchange();
    void close();

    http_server& owner;
    evhtp_connection_t* connection;
    bufferevent* link;
    bufferevent_data_cb read_callback = nullptr;
    bufferevent_data_cb write_callback = nullptr;
    bufferevent_event_cb event_callback = nullptr;
    void* callback_argument = nullptr;
    /// The exchange in progress, if any.
    std::shared_ptr<http_exchange> current;
    bool has_request = false;
    bool body_complete = false;
    bool refused = false;
    bool closed = false;
    /// Whether part of a request head has been received.
    bool has_partial_head = false;
    /// Since when the connection has waited for the next request, the rest of a
    /// head, or the next piece of a body.
    time_point waiting_since;
    /// The target of the next request, as received.
    std::string target;
};

} // namespace detail

} // namespace parsleytrack::net
