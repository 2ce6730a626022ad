#include "net/http_exchange.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <evhtp.h>
#include <sys/socket.h>

#include <utility>

namespace parsleytrack::net
{

namespace
{

void add_headers(evhtp_request* request, const http_header_list& headers)
{
    for (const auto& [key, value] : headers)
    {
        evhtp_headers_add_header(
            request->headers_out,
            evhtp_header_new(key.c_str(), value.c_str(), 1, 1));
    }
}

} // namespace

http_exchange::http_exchange(evhtp_request* handle,
                             http_request_head initial_head,
                             std::shared_ptr<const bool> server_closing)
    : request(handle), request_head(std::move(initial_head)),
      server_is_closing(std::move(server_closing))
{
}

void http_exchange::stream_body(std::function<void(std::string_view)> callback,
                                std::function<void()> on_end)
{
    this->piece_callback = std::move(callback);
    this->end_callback = std::move(on_end);
}

void http_exchange::on_body(std::size_t limit,
                            std::function<void(std::string)> callback)
{
    const auto body = std::make_shared<std::string>();
    this->piece_callback = [this, body, limit](std::string_view piece)
    {
        if (this->responded)
        {
            return;
        }
        if (body->size() + piece.size() > limit)
        {
            // Unlike clear(), this frees the memory.
            *body = std::string();
            this->respond_json(
                413, R"({"error":{"type":"refused","reason":"too_large",)"
                     R"("message":"the body is larger than the limit of )" +
                         std::to_string(limit) + R"( bytes","ran":"no"}})");
            return;
        }
        body->append(piece);
    };
    this->end_callback = [this, body, callback = std::move(callback)]
    {
        if (!this->responded)
        {
            callback(std::move(*body));
        }
    };
}

void http_exchange::pause_body()
{
    if (this->request != nullptr && !this->body_complete)
    {
        bufferevent_disable(evhtp_request_get_bev(this->request), EV_READ);
    }
}

void http_exchange::resume_body()
{
    if (this->request != nullptr)
    {
        bufferevent_enable(evhtp_request_get_bev(this->request), EV_READ);
    }
}

void http_exchange::respond(int status, const http_header_list& headers,
                            std::string_view body)
{
    if (this->responded || this->streaming)
    {
        return;
    }
    this->responded = true;
    if (!this->body_complete)
    {
        this->deferred = std::make_unique<deferred_response>(
            deferred_response{status, headers, std::string(body)});
        return;
    }
    this->send_response(status, headers, body);
}

void http_exchange::respond_json(int status, std::string_view body)
{
    this->respond(status, {{"Content-Type", "application/json"}}, body);
}

void http_exchange::send_response(int status, const http_header_list& headers,
                                  std::string_view body)
{
    if (this->request == nullptr)
    {
        return;
    }
    this->begin_response(headers);
    evbuffer_add(this->request->buffer_out, body.data(), body.size());
    evhtp_send_reply(this->request, static_cast<evhtp_res>(status));
}

void http_exchange::begin_response(const http_header_list& headers)
{
    add_headers(this->request, headers);
    if (*this->server_is_closing)
    {
        add_headers(this->request, {{"Connection", "close"}});
        evhtp_request_set_keepalive(this->request, 0);
    }
}

void http_exchange::start_stream(int status, const http_header_list& headers)
{
    if (this->request == nullptr || this->responded || this->streaming)
    {
        return;
    }
    this->streaming = true;
    this->begin_response(headers);
    evhtp_send_reply_chunk_start(this->request, static_cast<evhtp_res>(status));
}

void http_exchange::write_chunk(std::string_view data)
{
    if (this->request == nullptr || !this->streaming || this->responded ||
        data.empty())
    {
        return;
    }
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhtp_send_reply_chunk(this->request, buffer);
    evbuffer_free(buffer);
}

void http_exchange::finish_stream()
{
    if (!this->streaming || this->responded)
    {
        return;
    }
    this->responded = true;
    if (this->request != nullptr)
    {
        evhtp_send_reply_chunk_end(this->request);
    }
}

void http_exchange::abort()
{
    this->responded = true;
    if (this->request == nullptr)
    {
        return;
    }
    bufferevent* link = evhtp_request_get_bev(this->request);
    // Only the socket is shut down: the server then gets the end of the
    // connection as an event and frees the connection outside this call.
    ::shutdown(bufferevent_getfd(link), SHUT_RDWR);
}

bool http_exchange::is_open() const
{
    return this->request != nullptr && !this->responded;
}

std::size_t http_exchange::pending_output_bytes() const
{
    if (this->request == nullptr)
    {
        return 0;
    }
    bufferevent* link = evhtp_request_get_bev(this->request);
    return evbuffer_get_length(bufferevent_get_output(link));
}

void http_exchange::on_closed(std::function<void()> callback)
{
    this->closed_callback = std::move(callback);
}

void http_exchange::receive(std::string_view piece)
{
    if (this->piece_callback)
    {
        this->piece_callback(piece);
    }
}

void http_exchange::receive_end()
{
    this->body_complete = true;
    if (this->deferred)
    {
        const auto response = std::move(this->deferred);
        this->send_response(response->status, response->headers,
                            response->body);
        return;
    }
    if (this->end_callback)
    {
        this->end_callback();
    }
}

void http_exchange::detach()
{
    if (this->request == nullptr)
    {
        return;
    }
    this->request = nullptr;
    const bool was_waiting = !this->responded;
    this->responded = true;
    // Callbacks may own references to this object; clearing them breaks the
    // cycle.
    this->piece_callback = nullptr;
    this->end_callback = nullptr;
    const auto callback = std::move(this->closed_callback);
    this->closed_callback = nullptr;
    if (was_waiting && callback)
    {
        callback();
    }
}

} // namespace parsleytrack::net
