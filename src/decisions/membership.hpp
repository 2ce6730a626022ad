#pragma once

#include "decisions/board_outbox.hpp"
#include "decisions/gossip_board.hpp"
#include "decisions/member_table.hpp"
#include "decisions/membership_command.hpp"
#include "decisions/membership_options.hpp"
#include "decisions/membership_packet.hpp"
#include "decisions/node_info.hpp"
#include "decisions/update_queue.hpp"
#include "decisions/view_message.hpp"
#include "units/random_source.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Detects which nodes of the region are alive by SWIM-style probes and gossip,
/// and spreads the gossip board in the same packets. After each call the caller
/// executes the commands that take_commands() returns.
class membership
{
public:
    /// \param own This node. If its incarnation is not greater than that of an
    /// earlier process with the same id, the others see this process only once
    /// it has learned the higher one from them.
    /// \param options Timeouts, intervals and limits.
    /// \param random_numbers Outlives this object.
    /// \param values The board; outlives this object.
    membership(const node_info& own, const membership_options& options,
               random_source& random_numbers, gossip_board& values);

    /// Replaces the seed addresses through which this node joins the region.
    void set_seeds(std::vector<endpoint> addresses);

    /// Runs all periodic work; to be called about every 100 ms.
    void tick(time_point now);

    /// Handles a datagram from another node.
    void receive(time_point now, const endpoint& from,
                 const membership_packet& packet);

    /// Queues this node's newly published value of a topic for all nodes.
    void publish(const std::string& topic);

    /// \returns The request that starts a full exchange of views.
    view_message make_exchange_request() const;

    /// \returns The response to another node's request; absent if that node
    /// belongs to another region or this one has announced that it is gone.
    std::optional<view_message>
    handle_exchange_request(time_point now, const view_message& request);

    /// Merges the response to a request of this node.
    void handle_exchange_response(time_point now, const view_message& response);

    /// Announces whether this node can open connections to backend servers.
    void announce_reachability(bool reaches_replicas);

    /// Announces that this node will stop, while it still serves.
    void announce_leaving();

    /// Announces that this node has stopped. It neither sends nor handles
    /// anything afterwards.
    void announce_gone();

    /// \returns The pending commands, in the order of execution; clears them.
    std::vector<membership_command> take_commands();

    /// \returns All known nodes, including this one and dead ones that have not
    /// been evicted.
    std::vector<node_info> nodes() const;

    /// \returns The node with this id, which may be this node; absent if
    /// unknown.
    std::optional<node_info> find(const node_id& id) const;

    /// \returns Whether all other known nodes are dead, or none is known.
    bool is_alone() const { return this->table.present_count() == 0; }

    /// \returns The number of nodes that may be running although this one does
    /// not see them: those that are suspected or dead without having announced
    /// a stop, and the seeds that it has never seen, since a process that
    /// starts behind a cut knows nothing of the other side.
    std::size_t lost_nodes() const;

    const node_info& own_info() const { return this->own.node; }

private:
    struct outstanding_probe
    {
        node_id target;
        time_point sent;
        bool indirect = false;
    };
    struct relayed_probe
    {
        endpoint requester;
        std::int64_t sequence = 0;
        time_point sent;
    };

    bool handle_stall(time_point now);
    void check_probes(time_point now);
    void send_probe(time_point now);
    void probe_suspects();
    void probe_one_dead();
    void send_untracked_probe(const node_id& id);
    void request_indirect_probes(const outstanding_probe& probe,
                                 std::int64_t sequence);
    void expire(time_point now);
    void spread_updates();
    void spread_board();
    void send_gossip(const node_id& target);
    void start_exchange(time_point now);
    std::vector<endpoint> unknown_seeds() const;
    std::optional<endpoint> repair_target();
    std::optional<node_id> next_probe_target();
    std::vector<node_id> pick_random_nodes(std::size_t count,
                                           const node_id& except);

    void handle_probe(const endpoint& from, const membership_packet& packet);
    void handle_indirect_probe(time_point now, const endpoint& from,
                               const membership_packet& packet);
    void handle_acknowledgement(const membership_packet& packet);
    void exchange_with_unknown_sender(time_point now, const endpoint& from,
                                      const membership_packet& packet);

    void merge(time_point now, const member_record& claim);
    void merge(const board_item& item);
    void refute(const member_record& claim);
    void send(const endpoint& target, membership_packet packet,
              const node_id& receiver);
    membership_packet make_packet(membership_packet_kind kind) const;
    std::size_t remaining_bytes(std::size_t used) const;
    int transmission_limit() const;

    member_record own;
    membership_options options;
    random_source& random;
    gossip_board& board;
    member_table table;
    update_queue updates;
    board_outbox outbox;
    std::vector<endpoint> seeds;
    std::vector<membership_command> commands;
    std::map<std::int64_t, outstanding_probe> probes;
    std::map<std::int64_t, relayed_probe> relayed;
    std::vector<node_id> probe_order;
    std::int64_t next_sequence = 1;
    std::optional<time_point> last_tick;
    std::optional<time_point> join_end;
    time_point next_probe;
    time_point next_confirmation;
    time_point next_gossip;
    time_point next_exchange;
    time_point next_unknown_sender_exchange;
    time_point next_eviction;
    double update_allowance_bytes = 0;
    double board_allowance_bytes = 0;
    int exchange_count = 0;
    bool gone = false;
};

} // namespace parsleytrack
