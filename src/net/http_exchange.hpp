#pragma once

#include "net/http_request_head.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhtp_request;

namespace parsleytrack::net
{

/// The server side of one request and its response. The handler keeps it alive
/// until it has responded; all calls are no-ops once the caller has
/// disconnected.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// \param handle The libevhtp request.
    /// \param request_head The parsed request head.
    /// \param server_closing Whether responses close their connection; read
    /// when a response starts.
    http_exchange(evhtp_request* handle, http_request_head request_head,
                  std::shared_ptr<const bool> server_closing);

    /// \returns Method, path, query and header fields of the request.
    const http_request_head& head() const { return this->request_head; }

    /// Delivers each piece of the body as it arrives. Must be called from the
    /// server's handler, instead of on_body().
    ///
    /// \param callback Called with each piece.
    /// \param on_end Called once the body is complete.
    void stream_body(std::function<void(std::string_view)> callback,
                     std::function<void()> on_end);

    /// Collects the body and delivers it when it is complete. Must be called
    /// from the server's handler.
    ///
    /// \param limit Maximum body size in bytes; a larger body is answered with
    /// 413.
    /// \param callback Called with the whole body.
    void on_body(std::size_t limit, std::function<void(std::string)> callback);

    /// Pauses and resumes reading the body, to apply back pressure to the
    /// caller.
    void pause_body();
    void resume_body();

    /// Sends a complete response. If the request's body is not complete yet,
    /// the rest of it is read and discarded first.
    ///
    /// \param status The HTTP status.
    /// \param headers Header fields other than Content-Length.
    void respond(int status, const http_header_list& headers,
                 std::string_view body);

    /// Sends a complete response of type application/json.
    void respond_json(int status, std::string_view body);

    /// Starts a response with chunked transfer encoding.
    void start_stream(int status, const http_header_list& headers);

    /// Sends one chunk; ignored outside a chunked response.
    void write_chunk(std::string_view data);

    /// Ends a chunked response.
    void finish_stream();

    /// Shuts the connection down, so that the caller detects that a chunked
    /// response is incomplete.
    void abort();

    /// \returns Whether the caller is connected and the response is not
    /// finished.
    bool is_open() const;

    /// \returns Response bytes that are buffered and not yet sent.
    std::size_t pending_output_bytes() const;

    /// \param callback Called once if the caller disconnects before the
    /// handler has finished responding.
    void on_closed(std::function<void()> callback);

    /// Called by the server only.
    void receive(std::string_view piece);
    void receive_end();
    void detach();

private:
    struct deferred_response
    {
        int status = 0;
        http_header_list headers;
        std::string body;
    };

    void send_response(int status, const http_header_list& headers,
                       std::string_view body);

    void begin_response(const http_header_list& headers);

    evhtp_request* request = nullptr;
    http_request_head request_head;
    std::shared_ptr<const bool> server_is_closing;
    std::function<void(std::string_view)> piece_callback;
    std::function<void()> end_callback;
    std::function<void()> closed_callback;
    std::unique_ptr<deferred_response> deferred;
    bool body_complete = false;
    bool responded = false;
    bool streaming = false;
};

} // namespace parsleytrack::net
