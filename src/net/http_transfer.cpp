#include "net/http_transfer.hpp"

#include "net/http_syntax.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

evhttp_cmd_type to_command(const std::string& method)
{
    if (method == "GET")
    {
        return EVHTTP_REQ_GET;
    }
    if (method == "HEAD")
    {
        return EVHTTP_REQ_HEAD;
    }
    if (method == "PUT")
    {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE")
    {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PATCH")
    {
        return EVHTTP_REQ_PATCH;
    }
    if (method == "OPTIONS")
    {
        return EVHTTP_REQ_OPTIONS;
    }
    return EVHTTP_REQ_POST;
}

/// \returns Whether servers expect a body with this method, so that its absence
/// must be stated.
bool expects_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Adds the fields that end the request. libevent adds a length only for POST
/// and PUT, but writes any body.
void add_framing(evkeyvalq* fields, const http_request& request)
{
    if (!request.body.empty() || expects_body(request.method))
    {
        evhttp_add_header(fields, "Content-Length",
                          std::to_string(request.body.size()).c_str());
    }
}

} // namespace

http_transfer::http_transfer(http_client& owner, const endpoint& destination,
                             std::unique_ptr<http_connection> link,
                             http_client::callbacks callbacks)
    : client(owner), target(destination), connection(std::move(link)),
      hooks(std::move(callbacks))
{
}

void http_transfer::start(const http_request& request)
{
    this->self = this->shared_from_this();
    // libevent writes the target as it is and leaves out unusable fields.
    if (const char* problem = find_syntax_error(request))
    {
        this->client.loop().post(
            [transfer = this->self, problem] {
                transfer->fail(error_code::bad_request, ran_state::no, problem);
            });
        return;
    }
    this->active = evhttp_request_new(on_complete, this);
    evhttp_request_set_header_cb(this->active, on_head);
    evhttp_request_set_chunked_cb(this->active, on_chunk);
    evhttp_request_set_error_cb(this->active, on_error);
    evkeyvalq* fields = evhttp_request_get_output_headers(this->active);
    for (const auto& [key, value] : request.headers)
    {
        evhttp_add_header(fields, key.c_str(), value.c_str());
    }
    if (find_header(request.headers, "Host") == nullptr)
    {
        evhttp_add_header(fields, "Host", to_string(this->target).c_str());
    }
    add_framing(fields, request);
    evbuffer_add(evhttp_request_get_output_buffer(this->active),
                 request.body.data(), request.body.size());
    const auto timeout_handler = [this](const char* what)
    {
        return [this, what]
        {
            this->fail(error_code::deadline_exceeded, this->current_ran_state(),
                       std::string(what) + " of " + to_string(this->target) +
                           " timed out");
        };
    };
    event_loop& loop = this->client.loop();
    this->tcp_keepalive = request.tcp_keepalive;
    this->watch_output();
    this->watch_input();
    this->watch_close();
    if (request.total_timeout > duration::zero())
    {
        this->total_timer = loop.call_after(request.total_timeout,
                                            timeout_handler("the response"));
    }
    this->send_by = request.send_by;
    if (this->send_by)
    {
        this->send_timer = loop.call_after(*this->send_by - event_loop::now(),
                                           [this] { this->give_up_sending(); });
    }
    if (request.head_timeout > duration::zero())
    {
        this->head_timer = loop.call_after(
            request.head_timeout, timeout_handler("the response head"));
    }
    this->idle_timeout = request.idle_timeout;
    this->max_collected_body =
        static_cast<std::size_t>(request.max_collected_body.count());
    const int outcome =
        evhttp_make_request(this->connection->handle(), this->active,
                            to_command(request.method), request.target.c_str());
    if (outcome != 0)
    {
        // libevent has freed the request.
        this->active = nullptr;
        loop.post(
            [transfer = this->self]
            {
                transfer->fail(error_code::peer_unreachable, ran_state::no,
                               "cannot connect to " +
                                   to_string(transfer->target));
            });
    }
}

void http_transfer::give_up_sending()
{
    if (this->sent)
    {
        return;
    }
    if (this->ready_to_send)
    {
        this->fail(error_code::deadline_exceeded, ran_state::no,
                   "the request to " + to_string(this->target) +
                       " was not sent in time");
        return;
    }
    this->fail(error_code::peer_unreachable, ran_state::no,
               "the connection to " + to_string(this->target) +
                   " did not open in time");
}

bool http_transfer::is_too_late_to_send() const
{
    return this->send_by && event_loop::now() > *this->send_by;
}

ran_state http_transfer::current_ran_state() const
{
    return this->sent ? ran_state::unknown : ran_state::no;
}

void http_transfer::cancel()
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    this->hooks = {};
    this->release_connection(false);
}

int http_transfer::on_head(evhttp_request* request, void* argument)
{
    const auto transfer = static_cast<http_transfer*>(argument)->self;
    if (transfer && !transfer->ended)
    {
        transfer->read_head(request);
    }
    return 0;
}

void http_transfer::read_head(evhttp_request* request)
{
    const int status = evhttp_request_get_response_code(request);
    if (status < first_status || status > last_status)
    {
        this->end(error{error_code::backend_failed,
                        "status " + std::to_string(status) + " of " +
                            to_string(this->target) + " is no status of HTTP",
                        ran_state::unknown,
                        {}},
                  false);
        return;
    }
    if (status < first_final_status)
    {
        return;
    }
    this->head_received = true;
    this->head_timer.cancel();
    this->restart_idle_timer();
    this->response.status = status;
    const evkeyvalq* fields = evhttp_request_get_input_headers(request);
    for (const evkeyval* field = fields->tqh_first; field != nullptr;
         field = field->next.tqe_next)
    {
        this->response.headers.emplace_back(field->key, field->value);
    }
    if (this->hooks.on_head)
    {
        this->hooks.on_head(this->response);
    }
}

void http_transfer::on_chunk(evhttp_request* request, void* argument)
{
    const auto transfer = static_cast<http_transfer*>(argument)->self;
    if (transfer && !transfer->ended)
    {
        transfer->restart_idle_timer();
        transfer->read_body(request);
    }
}

void http_transfer::read_body(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(buffer);
    if (length == 0)
    {
        return;
    }
    std::string piece(length, '\0');
    evbuffer_remove(buffer, piece.data(), length);
    if (this->hooks.on_piece)
    {
        this->hooks.on_piece(piece);
        return;
    }
    this->response.body += piece;
    if (this->response.body.size() > this->max_collected_body)
    {
        this->fail(error_code::connection_lost, ran_state::unknown,
                   "the response of " + to_string(this->target) +
                       " is too large");
    }
}

} // namespace parsleytrack::net::detail
