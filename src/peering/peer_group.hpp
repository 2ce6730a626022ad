#pragma once

#include "decisions/gossip_board.hpp"
#include "decisions/membership.hpp"
#include "decisions/node_info.hpp"
#include "net/event_loop.hpp"
#include "peering/membership_driver.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace parsleytrack::peering
{

/// Runs the membership over the peer network, for a node that only needs the
/// identity and liveness of the other nodes.
class peer_group
{
public:
    peer_group(net::event_loop& event_loop, wire::peer_network& network,
               random_source& random_numbers, const node_info& own,
               std::vector<endpoint> seeds);

    /// \returns Nodes considered live, including this one but not leaving ones.
    const std::vector<node_info>& live_nodes() const { return this->live; }

    /// \returns The live nodes that reach replicas; all live ones if none does.
    const std::vector<node_info>& serving_nodes() const
    {
        return this->serving;
    }

    /// \returns All known nodes, including dead ones.
    std::vector<node_info> all() const { return this->members.nodes(); }

    /// \returns The number of nodes that may be running although this one does
    /// not see them.
    std::size_t lost_nodes() const { return this->members.lost_nodes(); }

    /// \returns The node; absent when it is unknown or dead.
    std::optional<node_info> find(const node_id& id) const;

    const node_info& own() const { return this->members.own_info(); }

    /// \param callback Called after each change of the view.
    void on_change(std::function<void()> callback);

    /// Announces whether this node can open connections to replicas.
    void announce_reachability(bool reaches_replicas);
    void announce_leaving();
    void announce_gone();

private:
    void apply_view();
    void update_live_nodes();
    void log_change(const char* event, const node_info& node) const;
    gossip_board board;
    membership members;
    membership_driver driver;
    std::vector<node_info> live;
    std::vector<node_info> serving;
    std::vector<std::function<void()>> change_callbacks;
};

} // namespace parsleytrack::peering
