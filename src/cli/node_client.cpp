#include "cli/node_client.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace parsleytrack::cli
{

namespace
{

bool may_repeat(const net::http_request& request)
{
    return request.method == "GET" ||
           net::find_header(request.headers, "Idempotency-Key") != nullptr;
}

} // namespace

node_client::node_client(std::vector<endpoint> nodes, duration timeout)
    : addresses(std::move(nodes)), answer_timeout(timeout)
{
}

result<reply> node_client::ask(const net::http_request& request)
{
    error last{error_code::peer_unreachable,
               "no node was named; use --nodes",
               ran_state::no,
               {}};
    for (const endpoint& node : this->addresses)
    {
        result<reply> answer = this->ask_node(node, request, nullptr);
        if (answer.has_value())
        {
            return answer;
        }
        last = answer.error();
        if (last.ran == ran_state::unknown && !may_repeat(request))
        {
            return last;
        }
    }
    return last;
}

result<reply> node_client::ask_host(const std::string& host,
                                    const net::http_request& request)
{
    if (this->addresses.empty())
    {
        return error{error_code::peer_unreachable,
                     "no node was named; use --nodes",
                     ran_state::no,
                     {}};
    }
    return this->ask_node(endpoint{host, this->addresses.front().port}, request,
                          nullptr);
}

result<reply> node_client::download(const std::string& target,
                                    const piece_callback& on_piece)
{
    net::http_request request;
    request.target = target;
    bool begun = false;
    const auto mark = [&begun, &on_piece](std::string_view piece)
    {
        begun = true;
        on_piece(piece);
    };
    error last{error_code::peer_unreachable,
               "no node was named; use --nodes",
               ran_state::no,
               {}};
    for (const endpoint& node : this->addresses)
    {
        result<reply> answer = this->ask_node(node, request, mark);
        if (answer.has_value())
        {
            return answer;
        }
        last = answer.error();
        if (begun)
        {
            return last;
        }
    }
    return last;
}

result<reply> node_client::ask_node(const endpoint& node,
                                    const net::http_request& request,
                                    const piece_callback& on_piece)
{
    net::http_request timed = request;
    timed.head_timeout = this->answer_timeout;
    timed.idle_timeout = this->answer_timeout;
    reply answer;
    std::optional<error> failure;
    bool ended = false;
    net::http_client::callbacks hooks;
    hooks.on_head = [&answer](const net::http_response& head)
    {
        answer.status = head.status;
    };
    hooks.on_piece = [&answer, &on_piece](std::string_view piece)
    {
        if (on_piece && answer.ok())
        {
            on_piece(piece);
            return;
        }
        answer.body += piece;
    };
    hooks.on_end = [&](result<net::http_response> outcome)
    {
        ended = true;
        if (outcome.has_error())
        {
            failure = outcome.error();
            return;
        }
        answer.status = outcome.value().status;
    };
    const auto call = this->client.send(node, timed, hooks);
    constexpr duration step = std::chrono::milliseconds(100);
    while (!ended)
    {
        this->loop.run_for(step);
    }
    if (failure)
    {
        return *failure;
    }
    return answer;
}

} // namespace parsleytrack::cli
