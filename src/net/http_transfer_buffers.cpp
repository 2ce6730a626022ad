// Watches the connection and its buffers during a transfer.

#include "net/http_transfer.hpp"
#include "net/tcp_keepalive.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

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
            transfer->sent = transfer->sent ||
                             (change->n_deleted > 0 && !transfer->too_late);
            if (change->n_added > 0 &&
                !std::exchange(transfer->ready_to_send, true))
            {
                transfer->handle_first_byte();
            }
        },
        this);
}

void http_transfer::handle_first_byte()
{
    if (this->tcp_keepalive)
    {
        enable_tcp_keepalive(
            bufferevent_getfd(
                evhttp_connection_get_bufferevent(this->connection->handle())),
            unreachable_limit);
    }
    this->too_late = this->is_too_late_to_send();
    if (this->too_late)
    {
        // libevent may write to a new connection right after this callback.
        this->shut_down();
    }
    // The buffer must not be changed inside its own callback.
    this->client.loop().post([kept = this->self] { kept->write_request(); });
}

void http_transfer::write_request()
{
    if (this->ended || this->sent)
    {
        return;
    }
    if (this->too_late || this->is_too_late_to_send())
    {
        this->give_up_sending();
        return;
    }
    // libevent would write in a later turn of the loop, before which the
    // process may stand still. What does not fit now is left to libevent.
    bufferevent* link =
        evhttp_connection_get_bufferevent(this->connection->handle());
    evbuffer* output = bufferevent_get_output(link);
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(link));
    evbuffer_freeze(output, 1);
}

void http_transfer::shut_down()
{
    const evutil_socket_t descriptor = bufferevent_getfd(
        evhttp_connection_get_bufferevent(this->connection->handle()));
    // Fails if the connection is not open yet, or no more.
    ::shutdown(descriptor, SHUT_RDWR);
}

void http_transfer::watch_input()
{
    evbuffer* input = bufferevent_get_input(
        evhttp_connection_get_bufferevent(this->connection->handle()));
    this->input_watch = evbuffer_add_cb(
        input,
        [](evbuffer* buffer, const evbuffer_cb_info* change, void* argument)
        {
            auto* transfer = static_cast<http_transfer*>(argument);
            if (change->n_added > 0 &&
                !std::exchange(transfer->response_began, true))
            {
                transfer->answered_early =
                    !transfer->connection->is_delivered();
            }
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

void http_transfer::watch_close()
{
    evhttp_connection_set_closecb(
        this->connection->handle(),
        [](evhttp_connection*, void* argument)
        { static_cast<http_transfer*>(argument)->check_end(); },
        this);
}

void http_transfer::check_end()
{
    if (!this->ended_in_order)
    {
        this->ended_in_order =
            this->connection->is_delivered() && !this->connection->has_failed();
    }
}

void http_transfer::unwatch_connection()
{
    evhttp_connection_set_closecb(this->connection->handle(), nullptr, nullptr);
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
