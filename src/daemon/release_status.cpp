#include "daemon/release_status.hpp"

#include "wire/codec.hpp"
#include "wire/generated/release_types.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>
#include <vector>

namespace parsleytrack
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr duration answer_timeout = std::chrono::milliseconds(1500);

// One answer under way: what the nodes have said so far.
struct collection
{
    std::shared_ptr<net::http_exchange> exchange;
    json nodes = json::array();
    json engines = json::array();
    std::int64_t version = 0;
    std::size_t open = 0;
    std::vector<std::unique_ptr<wire::peer_call>> calls;
};

void add(collection& into, const wire::release_progress_reply& reply)
{
    into.nodes.push_back({{"id", reply.node}, {"version", reply.version}});
    for (const wire::engine_progress& engine : reply.engines)
    {
        into.engines.push_back({{"replica", engine.replica},
                                {"gate", reply.node},
                                {"to_load", engine.to_load},
                                {"to_unload", engine.to_unload},
                                {"reason", engine.waits_for}});
    }
}

void finish(collection& whole)
{
    const json body{{"version", whole.version},
                    {"nodes", whole.nodes},
                    {"engines", whole.engines}};
    whole.exchange->respond_json(
        status_ok, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

// What a node that does not answer has last told by gossip.
std::int64_t gossiped_version(const gossip_board& board, const node_id& node)
{
    const auto& entries = board.latest("release");
    const auto found = entries.find(node);
    std::int64_t version = 0;
    if (found != entries.end())
    {
        const std::string& text = found->second.value;
        std::from_chars(text.data(), text.data() + text.size(), version);
    }
    return version;
}

} // namespace

release_status::release_status(node_context& node, source own_progress)
    : context(node), own(std::move(own_progress))
{
    this->context.router.add(
        "GET", "/v1/release/status",
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        { this->answer(exchange); });
    this->context.peers.on_call(
        wire::message_type::release_progress,
        [this](const std::shared_ptr<wire::peer_exchange>& exchange)
        { exchange->finish(wire::encode(this->own())); });
}

void release_status::answer(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto whole = std::make_shared<collection>();
    whole->exchange = exchange;
    whole->version = this->context.catalogue.current().version.count();
    add(*whole, this->own());
    whole->open = 1;
    for (const auto& [id, node] : this->context.fleet.nodes())
    {
        if (id == this->context.settings.id || node.state == node_state::dead)
        {
            continue;
        }
        ++whole->open;
        wire::peer_network::callbacks hooks;
        hooks.on_end = [this, whole, name = id](const result<std::string>& end)
        {
            auto reply =
                end.has_error()
                    ? result<wire::release_progress_reply>(end.error())
                    : wire::decode<wire::release_progress_reply>(end.value());
            if (reply.has_value())
            {
                add(*whole, reply.value());
            }
            else
            {
                const auto version =
                    gossiped_version(this->context.board, name);
                whole->nodes.push_back({{"id", name.str()},
                                        {"version", version},
                                        {"unreachable", true}});
            }
            if (--whole->open == 0)
            {
                // The calls refer to the collection and are freed with it.
                const auto calls = std::move(whole->calls);
                finish(*whole);
            }
        };
        whole->calls.push_back(this->context.peers.call(
            node.peer, wire::message_type::release_progress, std::string(),
            answer_timeout, std::move(hooks)));
    }
    if (--whole->open == 0)
    {
        finish(*whole);
    }
}

} // namespace parsleytrack
