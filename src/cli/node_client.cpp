#include "cli/node_client.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace parsleytrack::cli
{

namespace
{

bool is_repeatable(const net::http_request& request)
{
    return request.method == "GET" ||
           net::find_header(request.headers, "Idempotency-Key") != nullptr;
}

} // namespace

node_client::node_client(std::vector<endpoint> nodes, duration timeout)
    : addresses(std::move(nodes)), response_timeout(timeout)
{
}

result<node_response>
node_client::send_request(const net::http_request& request)
{
    error last_error{error_code::peer_unreachable,
                     "no node address was given; use --nodes",
                     ran_state::no,
                     {}};
    for (const endpoint& node : this->addresses)
    {
        result<node_response> response =
            this->send_to_node(node, request, nullptr);
        if (response.has_value())
        {
            return response;
        }
        last_error = response.error();
        if (last_error.ran == ran_state::unknown && !is_repeatable(request))
        {
            return last_error;
        }
    }
    return last_error;
}

result<node_response>
node_client::send_to_host(const std::string& host,
                          const net::http_request& request)
{
    if (this->addresses.empty())
    {
        return error{error_code::peer_unreachable,
                     "no node address was given; use --nodes",
                     ran_state::no,
                     {}};
    }
    return this->send_to_node(endpoint{host, this->addresses.front().port},
                              request, nullptr);
}

result<node_response> node_client::download(const std::string& target,
                                            const piece_callback& on_piece)
{
    net::http_request request;
    request.target = target;
    bool body_started = false;
    const auto forward_piece =
        [&body_started, &on_piece](std::string_view piece)
    {
        body_started = true;
        on_piece(piece);
    };
    error last_error{error_code::peer_unreachable,
                     "no node address was given; use --nodes",
                     ran_state::no,
                     {}};
    for (const endpoint& node : this->addresses)
    {
        result<node_response> response =
            this->send_to_node(node, request, forward_piece);
        if (response.has_value())
        {
            return response;
        }
        last_error = response.error();
        if (body_started)
        {
            return last_error;
        }
    }
    return last_error;
}

result<node_response>
node_client::send_to_node(const endpoint& node,
                          const net::http_request& request,
                          const piece_callback& on_piece)
{
    net::http_request timed_request = request;
    timed_request.head_timeout = this->response_timeout;
    timed_request.idle_timeout = this->response_timeout;
    node_response response;
    std::optional<error> failure;
    bool ended = false;
    net::http_client::callbacks hooks;
    hooks.on_head = [&response](const net::http_response& head)
    {
        response.status = head.status;
    };
    hooks.on_piece = [&response, &on_piece](std::string_view piece)
    {
        if (on_piece && response.ok())
        {
            on_piece(piece);
            return;
        }
        response.body += piece;
    };
    hooks.on_end = [&](result<net::http_response> outcome)
    {
        ended = true;
        if (outcome.has_error())
        {
            failure = outcome.error();
            return;
        }
        response.status = outcome.value().status;
    };
    const auto call = this->client.send(node, timed_request, hooks);
    constexpr duration step = std::chrono::milliseconds(100);
    while (!ended)
    {
        this->loop.run_for(step);
    }
    if (failure)
    {
        return *failure;
    }
    return response;
}

} // namespace parsleytrack::cli
