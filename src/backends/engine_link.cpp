#include "backends/engine_link.hpp"

#include <utility>

namespace parsleytrack::backends
{

namespace
{

constexpr int not_found = 404;
constexpr int first_server_error = 500;
constexpr duration stop_timeout = std::chrono::milliseconds(500);

std::optional<error> check_head(const net::http_response& head)
{
    if (const auto refusal = refused_by_leaving(head))
    {
        return refusal;
    }
    if (head.status == not_found)
    {
        return error{error_code::unknown_model,
                     "the engine has not loaded the model",
                     ran_state::unknown,
                     {}};
    }
    if (head.status >= first_server_error)
    {
        return error{error_code::backend_failed,
                     "the engine has answered with status " +
                         std::to_string(head.status),
                     ran_state::unknown,
                     {}};
    }
    return std::nullopt;
}

} // namespace

engine_link::engine_link(net::http_client& client, endpoint address)
    : backend(client, std::move(address))
{
}

std::unique_ptr<net::http_call>
engine_link::send(const backend_request& request, backend_hooks hooks)
{
    backend_request named = request;
    named.headers.emplace_back("X-Request-Id", request.id.str());
    return this->backend.send(named, check_head, std::move(hooks));
}

std::unique_ptr<net::http_call>
engine_link::read_load(std::function<void(result<load_report>)> callback)
{
    return this->backend.read_load(std::move(callback));
}

std::unique_ptr<net::http_call> engine_link::stop(const request_id& id,
                                                  std::function<void()> stopped)
{
    net::http_request message;
    message.method = "POST";
    message.target = "/v1/requests/" + id.str() + "/cancel";
    message.total_timeout = stop_timeout;
    net::http_client::callbacks callbacks;
    callbacks.on_end =
        [stopped = std::move(stopped)](const result<net::http_response>&)
    {
        stopped();
    };
    return this->backend.client().send(this->backend.address(), message,
                                       std::move(callbacks));
}

} // namespace parsleytrack::backends
