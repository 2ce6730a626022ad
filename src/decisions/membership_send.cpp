// Sends the packets of the membership and selects their receivers.

#include "decisions/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace parsleytrack
{

namespace
{

/// IP and UDP headers, which also count against the allowances.
constexpr double datagram_header_bytes = 28;
/// Number of nodes above which full exchanges become less frequent.
constexpr std::size_t exchange_scale_nodes = 100;
/// Number of nodes per additional join_interval between a node's contacts with
/// seeds, so that the load on a seed stays bounded as the region grows.
constexpr std::size_t join_scale_nodes = 30;

duration jittered(duration span, random_source& random)
{
    std::uniform_int_distribution<std::int64_t> spread(span.count() * 3 / 4,
                                                       span.count() * 5 / 4);
    return duration(spread(random));
}

} // namespace

void membership::spread_updates()
{
    const double interval_s =
        std::chrono::duration<double>(this->options.gossip_interval).count();
    const double burst_bytes =
        2 * static_cast<double>(this->options.packet_bytes);
    this->update_allowance_bytes = std::min(
        burst_bytes, this->update_allowance_bytes +
                         this->options.update_bytes_per_s * interval_s);
    if (this->updates.empty())
    {
        return;
    }
    const auto fanout = static_cast<std::size_t>(this->options.gossip_fanout);
    for (const node_id& target : this->pick_random_nodes(fanout, node_id()))
    {
        if (this->update_allowance_bytes > 0)
        {
            this->send_gossip(target);
        }
    }
}

void membership::spread_board()
{
    const double interval_s =
        std::chrono::duration<double>(this->options.gossip_interval).count();
    const double burst_bytes =
        this->options.board_bytes_per_s *
        std::chrono::duration<double>(this->options.board_burst).count();
    this->board_allowance_bytes =
        std::min(burst_bytes, this->board_allowance_bytes +
                                  this->options.board_bytes_per_s * interval_s);
    const std::vector<node_id>& peers = this->table.present();
    while (this->board_allowance_bytes > 0)
    {
        auto peer = this->outbox.next_peer(peers, board_outbox::pass::first);
        // Half of the burst is reserved for values not sent at all yet.
        if (!peer && this->board_allowance_bytes > burst_bytes / 2)
        {
            peer = this->outbox.next_peer(peers, board_outbox::pass::second);
        }
        if (!peer)
        {
            return;
        }
        this->send_gossip(*peer);
    }
}

void membership::send_gossip(const node_id& target)
{
    membership_packet packet =
        this->make_packet(membership_packet_kind::gossip);
    this->send(this->table.find(target)->record.node.peer, std::move(packet),
               target);
}

void membership::start_exchange(time_point now)
{
    const std::size_t present = this->table.present_count();
    duration interval = this->options.exchange_interval;
    if (present > exchange_scale_nodes)
    {
        interval = interval * static_cast<std::int64_t>(present) /
                   static_cast<std::int64_t>(exchange_scale_nodes);
    }
    const std::vector<endpoint> unknown =
        now < this->join_end ? this->unknown_seeds() : std::vector<endpoint>();
    if (present == 0 || !unknown.empty())
    {
        // The size of a view grows with the number of nodes, and all of them
        // may contact the same seed.
        interval = this->options.join_interval *
                   static_cast<std::int64_t>(1 + present / join_scale_nodes);
    }
    this->next_exchange = now + jittered(interval, this->random);
    ++this->exchange_count;
    if (!unknown.empty())
    {
        std::uniform_int_distribution<std::size_t> choice(0,
                                                          unknown.size() - 1);
        this->commands.emplace_back(
            exchange_views_command{unknown[choice(this->random)]});
        return;
    }
    const bool repair =
        present == 0 ||
        this->exchange_count % this->options.exchanges_per_repair == 0;
    if (repair)
    {
        if (const auto target = this->repair_target())
        {
            this->commands.emplace_back(exchange_views_command{*target});
            return;
        }
    }
    for (const node_id& target : this->pick_random_nodes(1, node_id()))
    {
        this->commands.emplace_back(
            exchange_views_command{this->table.find(target)->record.node.peer});
    }
}

std::vector<endpoint> membership::unknown_seeds() const
{
    std::vector<endpoint> unknown = this->seeds;
    for (const auto& [id, known] : this->table.all())
    {
        if (known.record.node.state != node_state::dead)
        {
            std::erase(unknown, known.record.node.peer);
        }
    }
    return unknown;
}

std::optional<endpoint> membership::repair_target()
{
    // After a partition both sides consider each other dead; contacting dead
    // nodes and unknown seeds joins them again.
    std::vector<endpoint> candidates = this->unknown_seeds();
    for (const auto& [id, known] : this->table.all())
    {
        if (known.record.node.state == node_state::dead)
        {
            candidates.push_back(known.record.node.peer);
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    return candidates[choice(this->random)];
}

std::vector<node_id> membership::pick_random_nodes(std::size_t count,
                                                   const node_id& except)
{
    const std::vector<node_id>& candidates = this->table.present();
    std::vector<node_id> chosen;
    if (candidates.size() <= count)
    {
        chosen = candidates;
        std::erase(chosen, except);
        return chosen;
    }
    // Repeated draws of the same node may leave fewer than count nodes.
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    for (std::size_t draw = 0; draw < 2 * count && chosen.size() < count;
         ++draw)
    {
        const node_id& id = candidates[choice(this->random)];
        const bool already_chosen =
            std::find(chosen.begin(), chosen.end(), id) != chosen.end();
        if (id != except && !already_chosen)
        {
            chosen.push_back(id);
        }
    }
    return chosen;
}

void membership::publish(const std::string& topic)
{
    this->outbox.record_publish(topic);
}

int membership::transmission_limit() const
{
    constexpr int extra_transmissions = 3;
    return extra_transmissions +
           static_cast<int>(std::bit_width(this->table.present_count() + 1));
}

std::size_t membership::remaining_bytes(std::size_t used) const
{
    return used < this->options.packet_bytes ? this->options.packet_bytes - used
                                             : 0;
}

membership_packet membership::make_packet(membership_packet_kind kind) const
{
    membership_packet packet;
    packet.kind = kind;
    packet.region = this->own.node.region;
    packet.sender = this->own.node.id;
    return packet;
}

void membership::send(const endpoint& target, membership_packet packet,
                      const node_id& receiver)
{
    const std::size_t base = encoded_size_bound(packet);
    std::size_t used = base;
    const auto* known = this->table.find(receiver);
    const bool not_alive =
        known != nullptr && known->record.node.state != node_state::alive;
    if (not_alive)
    {
        // The receiver needs its own record to refute it. Other updates are
        // left out since it may not be running.
        packet.members.push_back(known->record);
        used += encoded_size_bound(known->record);
    }
    const bool announcing_gone = this->own.node.state == node_state::dead;
    if (!not_alive && (this->update_allowance_bytes > 0 || announcing_gone))
    {
        const std::size_t size =
            this->updates.fill(packet, this->own, this->remaining_bytes(used),
                               this->transmission_limit());
        used += size;
        this->update_allowance_bytes -= static_cast<double>(size);
    }
    if (!receiver.empty() && this->board_allowance_bytes > 0)
    {
        const std::size_t size =
            this->outbox.fill(packet, receiver, this->remaining_bytes(used));
        used += size;
        this->board_allowance_bytes -= static_cast<double>(size);
    }
    if (packet.kind == membership_packet_kind::gossip)
    {
        const double overhead =
            datagram_header_bytes + static_cast<double>(base);
        (packet.items.empty() ? this->update_allowance_bytes
                              : this->board_allowance_bytes) -= overhead;
        if (packet.members.empty() && packet.items.empty())
        {
            return;
        }
    }
    this->commands.emplace_back(send_packet_command{target, std::move(packet)});
}

} // namespace parsleytrack
