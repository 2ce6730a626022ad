// How a transfer ends.

#include "net/connection_reuse.hpp"
#include "net/http_transfer.hpp"

#include <event2/http.h>
#include <event2/http_struct.h>

#include <string>
#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

/// \returns Whether only the end of the connection ends a response.
bool is_unframed(const evhttp_request& request)
{
    return request.chunked == 0 && request.ntoread < 0;
}

} // namespace

void http_transfer::on_error(evhttp_request_error, void* argument)
{
    // The connection was open, so the server may have read the request.
    const auto transfer = static_cast<http_transfer*>(argument)->self;
    if (transfer)
    {
        transfer->failed = true;
    }
}

void http_transfer::on_complete(evhttp_request* request, void* argument)
{
    const auto transfer = static_cast<http_transfer*>(argument)->self;
    if (!transfer || transfer->ended)
    {
        return;
    }
    transfer->active = nullptr;
    if (transfer->too_late)
    {
        transfer->give_up_sending();
        return;
    }
    if (request == nullptr || transfer->failed)
    {
        transfer->fail(error_code::connection_lost,
                       transfer->current_ran_state(),
                       "the connection to " + to_string(transfer->target) +
                           " was lost before the end of the response");
        return;
    }
    if (evhttp_request_get_response_code(request) == 0)
    {
        transfer->fail(error_code::peer_unreachable,
                       transfer->current_ran_state(),
                       "cannot connect to " + to_string(transfer->target));
        return;
    }
    transfer->finish_response(request);
}

void http_transfer::finish_response(evhttp_request* request)
{
    if (!this->head_received)
    {
        this->read_head(request);
    }
    if (this->ended)
    {
        return;
    }
    if (!this->head_received)
    {
        // Closes the connection, on which the response is still to come.
        this->end(
            error{error_code::connection_lost,
                  to_string(this->target) + " has sent an interim response",
                  ran_state::unknown,
                  {}},
            false);
        return;
    }
    const bool ends_with_connection = is_unframed(*request);
    if (ends_with_connection)
    {
        this->check_end();
    }
    if (ends_with_connection && !*this->ended_in_order)
    {
        this->fail(error_code::connection_lost, ran_state::unknown,
                   to_string(this->target) +
                       " has ended the connection before it had received the "
                       "request");
        return;
    }
    this->read_body(request);
    if (this->ended)
    {
        return;
    }
    const bool reusable =
        !this->answered_early &&
        allows_reuse(request->major, request->minor, this->response.headers);
    this->end(std::move(this->response), reusable);
}

void http_transfer::fail(error_code code, ran_state ran,
                         const std::string& message)
{
    if (this->ended)
    {
        return;
    }
    if (this->sent && !this->head_received)
    {
        this->client.close_idle_connections(this->target);
    }
    this->end(error{code, message, ran, {}}, false);
}

void http_transfer::end(result<http_response> outcome, bool reusable)
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    const auto callback = std::move(this->hooks.on_end);
    this->release_connection(reusable);
    if (callback)
    {
        callback(std::move(outcome));
    }
}

void http_transfer::release_connection(bool reusable)
{
    if (!this->sent)
    {
        // The request may be about to be written in this turn of the loop.
        this->shut_down();
    }
    this->unwatch_connection();
    this->total_timer.cancel();
    this->send_timer.cancel();
    this->head_timer.cancel();
    this->idle_timer.cancel();
    // libevent may be inside a callback of this connection, so it is freed or
    // reused only afterwards.
    this->client.loop().post(
        [transfer = this->self, reusable]
        {
            if (reusable)
            {
                transfer->client.return_connection(
                    transfer->target, std::move(transfer->connection));
            }
            transfer->connection.reset();
            transfer->hooks = {};
            transfer->self.reset();
        });
}

void http_transfer::restart_idle_timer()
{
    if (this->idle_timeout <= duration::zero())
    {
        return;
    }
    this->idle_timer = this->client.loop().call_after(
        this->idle_timeout,
        [this]
        {
            this->fail(error_code::deadline_exceeded, ran_state::unknown,
                       "the response of " + to_string(this->target) +
                           " stalled");
        });
}

} // namespace parsleytrack::net::detail
