#include "daemon/gate_client.hpp"

#include "daemon/forward_codec.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

/// Added to the time that the gate has, so that its own word comes first.
constexpr duration answer_margin = std::chrono::milliseconds(500);

/// Reads the answer of a gate piece by piece.
struct peer_answer
{
    forward_hooks hooks;
    bool has_head = false;
};

void handle_part(peer_answer& answer, const std::string& part)
{
    if (answer.has_head)
    {
        answer.hooks.on_piece(part);
        return;
    }
    answer.has_head = true;
    const auto head = decode_forward_head(part);
    if (head.has_value())
    {
        answer.hooks.on_head(head.value());
    }
}

} // namespace

gate_client::gate_client(node_context& node, gate_module& own_gates)
    : context(node), gates(own_gates)
{
}

std::unique_ptr<net::http_call>
gate_client::send(const forward_request& request, forward_hooks hooks)
{
    const auto gate = this->context.fleet.gate_of(request.replica);
    const node_info* node =
        gate ? this->context.fleet.find_node(*gate) : nullptr;
    if (node == nullptr || *gate == this->context.settings.id)
    {
        return this->gates.submit(request, std::move(hooks));
    }
    return this->send_to_peer(node->peer, request, std::move(hooks));
}

std::unique_ptr<net::http_call>
gate_client::send_to_peer(const endpoint& gate, const forward_request& request,
                          forward_hooks hooks)
{
    const auto answer =
        std::make_shared<peer_answer>(peer_answer{std::move(hooks), false});
    wire::peer_network::callbacks callbacks;
    callbacks.on_part = [answer](const std::string& part)
    {
        handle_part(*answer, part);
    };
    callbacks.on_end = [answer](const result<std::string>& last)
    {
        if (last.has_error())
        {
            answer->hooks.on_end(last.error());
            return;
        }
        answer->hooks.on_end(true);
    };
    std::shared_ptr<wire::peer_call> call = this->context.peers.call(
        gate, wire::message_type::gate_forward, encode_forward_request(request),
        request.time_left + answer_margin, std::move(callbacks));
    return std::make_unique<net::http_call>([call]() mutable { call.reset(); });
}

} // namespace parsleytrack
