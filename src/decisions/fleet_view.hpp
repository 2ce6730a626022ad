#pragma once

#include "decisions/node_info.hpp"
#include "decisions/replica_info.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace parsleytrack
{

/// What this node believes of the nodes and backend servers of its region.
class fleet_view
{
public:
    /// Replaces what is known of the nodes, this one included.
    void set_nodes(std::vector<node_info> nodes);

    /// Replaces what is known of the backend servers.
    void set_replicas(std::vector<replica_info> replicas);

    const std::map<node_id, node_info>& nodes() const
    {
        return this->known_nodes;
    }

    const std::map<replica_id, replica_info>& replicas() const
    {
        return this->known_replicas;
    }

    /// \returns The node, or null when it is not known.
    const node_info* find_node(const node_id& id) const;

    /// \returns The backend server, or null when it is not known.
    const replica_info* find_replica(const replica_id& id) const;

    /// \returns The backend servers of a service, by id.
    std::vector<replica_info> replicas_of(const service_name& service) const;

    /// \returns The node that alone sends work to a backend server: the best
    /// by rendezvous hashing among the nodes that are alive; empty when no
    /// node is.
    std::optional<node_id> gate_of(const replica_id& replica) const;

    /// \param callback Called after each change.
    void subscribe(std::function<void()> callback);

private:
    void rebuild_gates();
    void notify();

    std::map<node_id, node_info> known_nodes;
    std::map<replica_id, replica_info> known_replicas;
    std::map<replica_id, node_id> gates;
    std::vector<std::function<void()>> subscribers;
};

} // namespace parsleytrack
