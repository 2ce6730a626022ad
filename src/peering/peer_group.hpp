#pragma once

#include "decisions/gossip_board.hpp"
#include "decisions/membership.hpp"
#include "decisions/node_info.hpp"
#include "net/event_loop.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace parsleytrack::peering
{

/// Runs the membership over the peer network, for a node that needs no more
/// of the other nodes than who they are and whether they live.
class peer_group
{
public:
    peer_group(net::event_loop& event_loop, wire::peer_network& network,
               random_source& random_numbers, const node_info& own,
               std::vector<endpoint> seeds);

    /// \returns Nodes that are held to live, this one included, leaving ones
    /// left out.
    const std::vector<node_info>& living() const { return this->alive; }

    /// \returns All nodes that are remembered, the dead ones included.
    std::vector<node_info> all() const { return this->members.nodes(); }

    /// \returns The node, if it is known and not dead.
    std::optional<node_info> find(const node_id& id) const;

    const node_info& own() const { return this->members.own_info(); }

    /// \param callback Called after each change of the view.
    void on_change(std::function<void()> callback);

    void announce_leaving();
    void announce_gone();

private:
    void update_living();
    void log_change(const char* event, const node_info& node) const;
    void tick();
    void receive(const endpoint& from, std::string_view bytes);
    void answer_exchange(const std::shared_ptr<wire::peer_exchange>& exchange);
    void finish_exchange(std::int64_t number,
                         const result<std::string>& outcome);
    void carry_out_commands();
    void carry_out(const send_packet_command& command);
    void carry_out(const exchange_views_command& command);
    void carry_out(const view_changed_command& command);
    void carry_out(const node_dead_command& command);

    net::event_loop& loop;
    wire::peer_network& peers;
    gossip_board board;
    membership members;
    std::vector<node_info> alive;
    std::map<std::int64_t, std::unique_ptr<wire::peer_call>> exchanges;
    std::int64_t next_exchange = 1;
    std::vector<std::function<void()>> change_callbacks;
    net::timer tick_timer;
};

} // namespace parsleytrack::peering
