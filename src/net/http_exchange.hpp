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

/// The server's side of one request and its answer. Kept alive by whoever is
/// going to answer; all calls are harmless once the caller has gone away.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// \param handle The library's request.
    /// \param request_head What was read of it.
    /// \param server_closing Whether answers close their connection; looked at
    /// when an answer begins.
    http_exchange(evhtp_request* handle, http_request_head request_head,
                  std::shared_ptr<const bool> server_closing);

    /// \returns What the request said before its body.
    const http_request_head& head() const { return this->request_head; }

    /// Passes each piece of the body on as it arrives. To be called from the
    /// server's handler; without it the body is collected for on_body().
    ///
    /// \param callback Gets each piece.
    /// \param on_end Called once the body is complete.
    void stream_body(std::function<void(std::string_view)> callback,
                     std::function<void()> on_end);

    /// Collects the body and passes it on when it is complete. To be called
    /// from the server's handler.
    ///
    /// \param limit The most bytes that are kept; more are answered with 413.
    /// \param callback Gets the whole body.
    void on_body(std::size_t limit, std::function<void(std::string)> callback);

    /// Stops and resumes reading the body, for a handler that cannot keep up.
    void pause_body();
    void resume_body();

    /// Answers at once with a whole body. When the request's body is not
    /// complete, the rest of it is read and dropped first.
    ///
    /// \param status The HTTP status.
    /// \param headers Fields beside Content-Length.
    /// \param body The body.
    void respond(int status, const http_header_list& headers,
                 std::string_view body);

    /// Answers with JSON.
    void respond_json(int status, std::string_view body);

    /// Begins an answer in chunks.
    void start_stream(int status, const http_header_list& headers);

    /// Adds to an answer in chunks.
    void write_chunk(std::string_view data);

    /// Ends an answer in chunks.
    void finish_stream();

    /// Breaks the connection off, so that the caller sees that an answer in
    /// chunks is not whole.
    void abort();

    /// \returns Whether the caller is still connected and not answered.
    bool is_open() const;

    /// \returns Bytes of the answer that the caller has not taken yet.
    std::size_t pending_output_bytes() const;

    /// \param callback Called once when the caller goes away unanswered.
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
