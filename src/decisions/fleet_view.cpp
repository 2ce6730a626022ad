#include "decisions/fleet_view.hpp"

#include "decisions/rendezvous.hpp"

#include <string>
#include <utility>

namespace parsleytrack
{

void fleet_view::set_nodes(std::vector<node_info> nodes)
{
    std::map<node_id, node_info> replacement;
    for (node_info& node : nodes)
    {
        const node_id id = node.id;
        replacement[id] = std::move(node);
    }
    if (replacement == this->known_nodes)
    {
        return;
    }
    this->known_nodes = std::move(replacement);
    this->rebuild_gates();
    this->notify();
}

void fleet_view::set_replicas(std::vector<replica_info> replicas)
{
    std::map<replica_id, replica_info> replacement;
    for (replica_info& replica : replicas)
    {
        const replica_id id = replica.id;
        replacement[id] = std::move(replica);
    }
    if (replacement == this->known_replicas)
    {
        return;
    }
    this->known_replicas = std::move(replacement);
    this->rebuild_gates();
    this->notify();
}

const node_info* fleet_view::find_node(const node_id& id) const
{
    const auto found = this->known_nodes.find(id);
    return found == this->known_nodes.end() ? nullptr : &found->second;
}

const replica_info* fleet_view::find_replica(const replica_id& id) const
{
    const auto found = this->known_replicas.find(id);
    return found == this->known_replicas.end() ? nullptr : &found->second;
}

std::vector<replica_info>
fleet_view::replicas_of(const service_name& service) const
{
    std::vector<replica_info> matching;
    for (const auto& [id, replica] : this->known_replicas)
    {
        if (replica.service == service)
        {
            matching.push_back(replica);
        }
    }
    return matching;
}

std::optional<node_id> fleet_view::gate_of(const replica_id& replica) const
{
    const auto found = this->gates.find(replica);
    if (found == this->gates.end())
    {
        return std::nullopt;
    }
    return found->second;
}

void fleet_view::subscribe(std::function<void()> callback)
{
    this->subscribers.push_back(std::move(callback));
}

void fleet_view::rebuild_gates()
{
    this->gates.clear();
    std::vector<std::string> candidates;
    for (const auto& [id, node] : this->known_nodes)
    {
        // A suspect node keeps its gates, since most suspicions are refuted.
        if (node.state == node_state::alive ||
            node.state == node_state::suspect)
        {
            candidates.push_back(id.str());
        }
    }
    for (const auto& [id, replica] : this->known_replicas)
    {
        const auto best = rendezvous_rank(candidates, id.str(), 1);
        if (!best.empty())
        {
            this->gates[id] = node_id(candidates[best.front()]);
        }
    }
}

void fleet_view::notify()
{
    for (const auto& callback : this->subscribers)
    {
        callback();
    }
}

} // namespace parsleytrack
