#pragma once

#include "net/http_client.hpp"
#include "net/http_connection.hpp"

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>
#include <optional>

namespace parsleytrack::net::detail
{

/// One request on one client connection, from sending to the last callback.
class http_transfer : public std::enable_shared_from_this<http_transfer>
{
public:
    http_transfer(http_client& client, const endpoint& target,
                  std::unique_ptr<http_connection> connection,
                  http_client::callbacks hooks);

    /// Sends the request and starts its timers.
    void start(const http_request& request);

    /// Closes the connection without calling any further callback.
    void cancel();

private:
    static int on_head(evhttp_request* request, void* argument);
    static void on_chunk(evhttp_request* request, void* argument);
    static void on_error(evhttp_request_error reason, void* argument);
    static void on_complete(evhttp_request* request, void* argument);

    void read_head(evhttp_request* request);
    void read_body(evhttp_request* request);
    /// Ends the transfer with the response that libevent has read to its end.
    void finish_response(evhttp_request* request);
    void fail(error_code code, ran_state ran, const std::string& message);
    void end(result<http_response> outcome, bool reusable);
    void unwatch_connection();
    void release_connection(bool reusable);
    void restart_idle_timer();
    void watch_output();
    /// Fails the request when libevent buffers more than a response needs, such
    /// as a chunk or a line without end.
    void watch_input();
    /// Calls check_end() before libevent closes the connection.
    void watch_close();
    /// Notes whether the connection ends in a way that may end a response.
    void check_end();
    void handle_first_byte();
    /// Writes the request, unless it is too late for that.
    void write_request();
    /// Fails the request unless it was written.
    void give_up_sending();
    bool is_too_late_to_send() const;
    /// Makes sure that nothing more is written to the connection.
    void shut_down();
    ran_state current_ran_state() const;

    http_client& client;
    endpoint target;
    std::unique_ptr<http_connection> connection;
    http_client::callbacks hooks;
    http_response response;
    std::optional<time_point> send_by;
    duration idle_timeout = duration::zero();
    std::size_t max_collected_body = 0;
    timer total_timer;
    timer send_timer;
    timer head_timer;
    timer idle_timer;
    evhttp_request* active = nullptr;
    evbuffer_cb_entry* output_watch = nullptr;
    evbuffer_cb_entry* input_watch = nullptr;
    /// Whether libevent has the request ready, which it has once the connection
    /// is open.
    bool ready_to_send = false;
    /// Whether the connection has opened too late for the request.
    bool too_late = false;
    /// Whether any byte of the request was written to the socket.
    bool sent = false;
    bool tcp_keepalive = false;
    /// Whether any byte of the response has arrived.
    bool response_began = false;
    bool head_received = false;
    /// Whether a part of the response came before the server had received the
    /// whole request. It may take the rest for the next request.
    bool answered_early = false;
    /// Whether the connection has ended in order after the whole request;
    /// absent while it is open.
    std::optional<bool> ended_in_order;
    bool failed = false;
    bool overflowed = false;
    bool ended = false;
    // libevent refers to this transfer until its last callback.
    std::shared_ptr<http_transfer> self;
};

} // namespace parsleytrack::net::detail
