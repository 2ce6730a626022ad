#include "backends/http_backend.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::backends
{

namespace
{

constexpr duration load_timeout = std::chrono::seconds(2);
constexpr int service_unavailable = 503;
constexpr int ok = 200;

/// What one answer has shown so far.
struct answer_state
{
    std::optional<error> failure;
};

result<load_report> parse_load(const net::http_response& answer)
{
    const auto document = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != ok || !document.is_object())
    {
        return error{error_code::backend_failed,
                     "the load report cannot be read",
                     ran_state::no,
                     {}};
    }
    const auto number = [&document](const char* name)
    {
        const auto field = document.find(name);
        return field != document.end() && field->is_number_integer()
                   ? field->get<int>()
                   : 0;
    };
    return load_report{number("running"), number("waiting"), number("slots")};
}

} // namespace

http_backend::http_backend(net::http_client& client, endpoint address)
    : http(client), target(std::move(address))
{
}

std::unique_ptr<net::http_call>
http_backend::send(const backend_request& request, status_check check,
                   backend_hooks hooks)
{
    net::http_request message;
    message.method = request.method;
    message.target = request.target;
    message.headers = request.headers;
    message.body = request.body;
    message.total_timeout = request.total_timeout;
    message.head_timeout = request.head_timeout;
    message.idle_timeout = request.idle_timeout;
    message.allow_connection_reuse = !request.send_once;
    const auto state = std::make_shared<answer_state>();
    net::http_client::callbacks callbacks;
    callbacks.on_head =
        [state, check = std::move(check),
         on_head = std::move(hooks.on_head)](const net::http_response& head)
    {
        state->failure = check(head);
        if (!state->failure && on_head)
        {
            on_head(head.status, head.headers);
        }
    };
    callbacks.on_piece =
        [state, on_piece = std::move(hooks.on_piece)](std::string_view piece)
    {
        if (!state->failure && on_piece)
        {
            on_piece(piece);
        }
    };
    callbacks.on_end = [state, on_end = std::move(hooks.on_end)](
                           const result<net::http_response>& answer)
    {
        if (answer.has_error())
        {
            on_end(answer.error());
        }
        else if (state->failure)
        {
            on_end(*state->failure);
        }
        else
        {
            on_end(true);
        }
    };
    return this->http.send(this->target, message, std::move(callbacks));
}

std::unique_ptr<net::http_call>
http_backend::read_load(std::function<void(result<load_report>)> callback)
{
    net::http_request message;
    message.target = "/v1/load";
    message.total_timeout = load_timeout;
    net::http_client::callbacks callbacks;
    callbacks.on_end = [callback = std::move(callback)](
                           const result<net::http_response>& answer)
    {
        if (answer.has_error())
        {
            callback(answer.error());
            return;
        }
        callback(parse_load(answer.value()));
    };
    return this->http.send(this->target, message, std::move(callbacks));
}

std::optional<error> refused_by_leaving(const net::http_response& head)
{
    const std::string* not_run = net::find_header(head.headers, "X-Not-Run");
    if (head.status != service_unavailable || not_run == nullptr ||
        *not_run != "true")
    {
        return std::nullopt;
    }
    // Bytes have reached the server, so callers are not told "not run".
    return error{error_code::no_replica,
                 "the backend server is leaving",
                 ran_state::unknown,
                 {}};
}

} // namespace parsleytrack::backends
