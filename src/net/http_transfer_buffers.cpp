// Watches the connection's buffers during a transfer.

#include "net/http_transfer.hpp"
#include "net/tcp_keepalive.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

/// Most bytes of one response that wait to be parsed: twice the largest chunk
/// that a sound server sends.
constexpr std::size_t max_unread_bytes = 2 * 1024 * 1024;

/// How long the server of a request that waits for data may be unreachable.
/// With the calls that follow, well below the three seconds after which a node
/// must be up to date again.
constexpr std::chrono::seconds unreachable_limit{2};

} // namespace

void http_transfer::watch_output()
{
    evbuffer* output = bufferevent_get_output(
        evhttp_connection_get_bufferevent(this->connection->handle()));
    this->output_watch = evbuffer_add_cb(
        output,
        [](evbuffer*, const evbuffer_cb_info* change, void* argument)
        {
            auto* transfer = static_cast<http_transfer*>(argument);
            if (change->n_added > 0 && !transfer->sent)
            {
                transfer->handle_first_byte();
            }
        },
        this);
}

void http_transfer::handle_first_byte()
{
    this->sent = true;
    if (this->tcp_keepalive)
    {
        enable_tcp_keepalive(
            bufferevent_getfd(
                evhttp_connection_get_bufferevent(this->connection->handle())),
            unreachable_limit);
    }
}

void http_transfer::watch_input()
{
    evbuffer* input = bufferevent_get_input(
        evhttp_connection_get_bufferevent(this->connection->handle()));
    this->input_watch = evbuffer_add_cb(
        input,
        [](evbuffer* buffer, const evbuffer_cb_info*, void* argument)
        {
            auto* transfer = static_cast<http_transfer*>(argument);
            if (evbuffer_get_length(buffer) <= max_unread_bytes ||
                std::exchange(transfer->overflowed, true))
            {
                return;
            }
            // The buffer must not be freed inside its own callback.
            transfer->client.loop().post(
                [kept = transfer->self]
                {
                    kept->fail(error_code::connection_lost, ran_state::unknown,
                               "the bytes that " + to_string(kept->target) +
                                   " sends are no response");
                });
        },
        this);
}

void http_transfer::unwatch_buffers()
{
    bufferevent* link =
        evhttp_connection_get_bufferevent(this->connection->handle());
    if (this->output_watch != nullptr)
    {
        evbuffer_remove_cb_entry(bufferevent_get_output(link),
                                 this->output_watch);
        this->output_watch = nullptr;
    }
    if (this->input_watch != nullptr)
    {
        evbuffer_remove_cb_entry(bufferevent_get_input(link),
                                 this->input_watch);
        this->input_watch = nullptr;
    }
}

} // namespace parsleytrack::net::detail
