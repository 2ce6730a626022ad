#include "peering/peer_group.hpp"

#include "decisions/nodes_with_replicas.hpp"
#include "logging/log.hpp"
#include "peering/group_options.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace parsleytrack::peering
{

namespace
{

/// Transferring the view of the largest region takes a few milliseconds, or
/// several times that on a lossy link.
constexpr duration exchange_timeout = std::chrono::seconds(1);

} // namespace

peer_group::peer_group(net::event_loop& event_loop, wire::peer_network& network,
                       random_source& random_numbers, const node_info& own,
                       std::vector<endpoint> seeds)
    : board(own.id, static_cast<std::uint64_t>(own.incarnation.count())),
      members(own, group_options(), random_numbers, this->board),
      driver(event_loop, network, this->members, exchange_timeout,
             {[this] { this->apply_view(); },
              [](const endpoint& from, const error& reason)
              {
                  log_event(
                      log_level::warning, "peer_datagram_refused",
                      {{"from", to_string(from)}, {"reason", reason.message}});
              },
              [](const error& reason)
              {
                  log_event(log_level::debug, "peer_exchange_failed",
                            {{"reason", reason.message}});
              },
              [](const error& reason)
              {
                  log_event(log_level::warning, "peer_exchange_refused",
                            {{"reason", reason.message}});
              }})
{
    this->members.set_seeds(std::move(seeds));
    this->update_live_nodes();
}

void peer_group::apply_view()
{
    this->update_live_nodes();
    for (const auto& callback : this->change_callbacks)
    {
        callback();
    }
}

void peer_group::update_live_nodes()
{
    std::set<node_id> before;
    for (const node_info& node : this->live)
    {
        before.insert(node.id);
    }
    const std::vector<node_info> all = this->members.nodes();
    this->live.clear();
    std::copy_if(all.begin(), all.end(), std::back_inserter(this->live),
                 [](const node_info& node)
                 { return node.state == node_state::alive; });
    this->serving = nodes_with_replicas(this->live);
    for (const node_info& node : this->live)
    {
        if (before.erase(node.id) == 0)
        {
            this->log_change("node_alive", node);
        }
    }
    for (const node_info& node : all)
    {
        if (before.contains(node.id))
        {
            this->log_change("node_not_alive", node);
        }
    }
}

void peer_group::log_change(const char* event, const node_info& node) const
{
    log_event(log_level::info, event,
              {{"peer_node", node.id.str()},
               {"address", to_string(node.peer)},
               {"state", std::string(to_string(node.state))},
               {"incarnation", node.incarnation.count()},
               {"living", this->live.size()}});
}

std::optional<node_info> peer_group::find(const node_id& id) const
{
    auto node = this->members.find(id);
    if (node && node->state == node_state::dead)
    {
        node.reset();
    }
    return node;
}

void peer_group::on_change(std::function<void()> callback)
{
    this->change_callbacks.push_back(std::move(callback));
}

void peer_group::announce_reachability(bool reaches_replicas)
{
    this->members.announce_reachability(reaches_replicas);
    this->driver.execute_commands();
}

void peer_group::announce_leaving()
{
    this->members.announce_leaving();
    this->driver.execute_commands();
}

void peer_group::announce_gone()
{
    this->members.announce_gone();
    this->driver.execute_commands();
}

} // namespace parsleytrack::peering
