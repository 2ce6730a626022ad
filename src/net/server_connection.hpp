#pragma once

#include "net/body_budget.hpp"
#include "net/caller_refusal.hpp"
#include "net/http_exchange.hpp"
#include "units/time.hpp"

#include <event2/bufferevent.h>
#include <evhtp.h>

#include <cstddef>
#include <cstdint>
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
    static connection_number attach(http_server& owner,
                                    evhtp_connection_t* connection);

    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Ends the connection if it has exceeded a time limit, and records its
    /// waiting output.
    void enforce_timeouts(time_point now);

    /// Bounds the input that waits to be read, by the server's limits.
    void limit_input();

    /// Answers with an error and ends the connection; only ends it where no
    /// such answer is possible. Not while libevhtp reads the input.
    void refuse(caller_refusal reason);

    /// Discards the rest of the body; refuse() follows.
    void ignore_body() { this->ignores_body = true; }

    /// \returns Whether no part of a request has arrived.
    bool is_idle() const
    {
        return !this->has_request && !this->has_partial_head && !this->refused;
    }

    /// \returns Since when it has waited for what comes next.
    time_point waits_since() const { return this->waiting_since; }

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
    bool may_read_head(evbuffer* input);
    bool is_over_body_limit(std::uint64_t bytes) const;
    /// \returns Whether so much of earlier responses waits that the next
    /// request is not accepted. Each small response takes far more memory than
    /// its bytes, so that the budget does not bound them.
    bool reads_too_little() const;
    bool may_run() const { return this->has_request && this->body_complete; }
    /// Drains the input of a refused request, up to a bound.
    void discard(evbuffer* input);
    /// \param received Bytes of the body received since the last call.
    void report_buffers(std::size_t received);
    void end_exchange();
    void close();

    http_server& owner;
    evhtp_connection_t* connection;
    bufferevent* link;
    connection_number number;
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
    bool ignores_body = false;
    time_point refused_at;
    std::size_t body_bytes = 0;
    std::size_t discarded_bytes = 0;
    /// Waiting output when it was last recorded, and when it last shrank.
    std::size_t last_output = 0;
    time_point output_moved_at;
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
