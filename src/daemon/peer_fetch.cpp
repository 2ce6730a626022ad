#include "daemon/peer_fetch.hpp"

#include <utility>
#include <vector>

namespace parsleytrack
{

namespace
{

constexpr duration answer_timeout = std::chrono::milliseconds(1500);

} // namespace

peer_fetch::peer_fetch(node_context& node, wire::message_type type)
    : context(node), message(type)
{
}

bool peer_fetch::ask(const node_id& target, const std::string& payload,
                     callback on_end)
{
    const node_info* peer = this->context.fleet.find_node(target);
    if (this->is_busy() || peer == nullptr ||
        target == this->context.settings.id)
    {
        return false;
    }
    wire::peer_network::callbacks hooks;
    hooks.on_end = [this, on_end = std::move(on_end)](result<std::string> end)
    {
        const auto ended = std::move(this->call);
        on_end(std::move(end));
    };
    this->call = this->context.peers.call(peer->peer, this->message, payload,
                                          answer_timeout, std::move(hooks));
    return true;
}

node_id peer_fetch::any_peer() const
{
    std::vector<node_id> peers;
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        if (id != this->context.settings.id && node.state != node_state::dead)
        {
            peers.push_back(id);
        }
    }
    if (peers.empty())
    {
        return node_id();
    }
    return peers[this->context.random() % peers.size()];
}

} // namespace parsleytrack
