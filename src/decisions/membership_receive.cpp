// Handles incoming packets and view exchanges of the membership.

#include "decisions/membership.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr std::size_t max_relayed_probes = 1024;
constexpr duration unknown_sender_exchange_interval =
    std::chrono::milliseconds(500);

/// \returns Whether the packet carries a record of this node with an older
/// incarnation, so that its sender does not know the latest record.
bool is_outdated(const membership_packet& packet, const member_record& own)
{
    return std::any_of(packet.members.begin(), packet.members.end(),
                       [&own](const member_record& claim)
                       {
                           return claim.node.id == own.node.id &&
                                  claim.node.incarnation < own.node.incarnation;
                       });
}

} // namespace

void membership::receive(time_point now, const endpoint& from,
                         const membership_packet& packet)
{
    if (this->gone || packet.region != this->own.node.region ||
        packet.sender == this->own.node.id)
    {
        return;
    }
    for (const member_record& claim : packet.members)
    {
        this->merge(now, claim);
    }
    for (const board_item& item : packet.items)
    {
        this->merge(item);
    }
    this->exchange_with_unknown_sender(now, from, packet);
    switch (packet.kind)
    {
    case membership_packet_kind::probe:
        this->handle_probe(from, packet);
        return;
    case membership_packet_kind::acknowledgement:
        this->handle_acknowledgement(packet);
        return;
    case membership_packet_kind::indirect_probe:
        this->handle_indirect_probe(now, from, packet);
        return;
    case membership_packet_kind::gossip:
        return;
    }
}

void membership::exchange_with_unknown_sender(time_point now,
                                              const endpoint& from,
                                              const membership_packet& packet)
{
    const auto* known = this->table.find(packet.sender);
    const bool held_dead =
        known != nullptr && known->record.node.state == node_state::dead;
    if ((known != nullptr && !held_dead) ||
        now < this->next_unknown_sender_exchange)
    {
        return;
    }
    // The sender knows this node but is unknown or believed dead here. Views
    // are exchanged at once instead of at the next periodic exchange.
    this->next_unknown_sender_exchange = now + unknown_sender_exchange_interval;
    this->commands.emplace_back(exchange_views_command{from});
}

void membership::handle_probe(const endpoint& from,
                              const membership_packet& packet)
{
    // Another node may have used this address before.
    if (packet.subject != this->own.node.id)
    {
        return;
    }
    membership_packet acknowledgement =
        this->make_packet(membership_packet_kind::acknowledgement);
    acknowledgement.sequence = packet.sequence;
    acknowledgement.subject = this->own.node.id;
    if (is_outdated(packet, this->own))
    {
        acknowledgement.members.push_back(this->own);
    }
    this->send(from, std::move(acknowledgement), packet.sender);
}

void membership::handle_indirect_probe(time_point now, const endpoint& from,
                                       const membership_packet& packet)
{
    if (this->relayed.size() >= max_relayed_probes)
    {
        return;
    }
    const std::int64_t sequence = this->next_sequence++;
    this->relayed[sequence] = relayed_probe{from, packet.sequence, now};
    membership_packet probe = this->make_packet(membership_packet_kind::probe);
    probe.sequence = sequence;
    probe.subject = packet.subject;
    this->send(packet.subject_address, std::move(probe), packet.subject);
}

void membership::handle_acknowledgement(const membership_packet& packet)
{
    const auto probe = this->probes.find(packet.sequence);
    if (probe != this->probes.end() && probe->second.target == packet.subject)
    {
        this->probes.erase(probe);
        return;
    }
    const auto relay = this->relayed.find(packet.sequence);
    if (relay == this->relayed.end())
    {
        return;
    }
    const relayed_probe request = relay->second;
    this->relayed.erase(relay);
    membership_packet acknowledgement =
        this->make_packet(membership_packet_kind::acknowledgement);
    acknowledgement.sequence = request.sequence;
    acknowledgement.subject = packet.subject;
    this->send(request.requester, std::move(acknowledgement), node_id());
}

void membership::merge(time_point now, const member_record& claim)
{
    if (claim.node.id == this->own.node.id)
    {
        this->refute(claim);
        return;
    }
    const auto* before = this->table.find(claim.node.id);
    const bool was_dead =
        before != nullptr && before->record.node.state == node_state::dead;
    if (!this->table.merge(claim, now))
    {
        return;
    }
    this->updates.add(claim.node.id);
    if (claim.node.state == node_state::alive)
    {
        // The node may have restarted and lost this node's board values.
        this->outbox.reset_peer(claim.node.id);
    }
    this->commands.emplace_back(view_changed_command{});
    if (!was_dead && claim.node.state == node_state::dead)
    {
        this->commands.emplace_back(
            node_dead_command{claim.node.id, claim.node.peer});
    }
}

void membership::merge(const board_item& item)
{
    if (item.node == this->own.node.id)
    {
        this->board.republish_above(item.version);
        return;
    }
    // Values are evicted with their node, so those of an unknown node would
    // be kept for ever.
    if (this->table.find(item.node) == nullptr)
    {
        return;
    }
    this->board.receive(item.node, item.topic, item.version, item.value);
}

void membership::refute(const member_record& claim)
{
    const node_info& node = this->own.node;
    const bool newer = claim.node.incarnation > node.incarnation;
    const bool same = claim.node.incarnation == node.incarnation;
    const bool wrong = claim.node.state != node_state::alive ||
                       claim.node.process != node.process ||
                       claim.node.peer != node.peer ||
                       (claim.leaving && !this->own.leaving);
    if (this->gone || !(newer || (same && wrong)))
    {
        return;
    }
    this->own.node.incarnation = claim.node.incarnation.next();
    this->updates.add(node.id);
    this->commands.emplace_back(view_changed_command{});
}

view_message membership::make_exchange_request() const
{
    view_message message;
    message.region = this->own.node.region;
    message.sender = this->own.node.id;
    message.members.push_back(this->own);
    for (const auto& [id, known] : this->table.all())
    {
        message.members.push_back(known.record);
    }
    for (const auto& [topic, values] : this->board.all())
    {
        for (const auto& [id, value] : values)
        {
            message.known.push_back(board_version{topic, id, value.version});
        }
    }
    return message;
}

std::optional<view_message>
membership::handle_exchange_request(time_point now, const view_message& request)
{
    if (this->gone || request.region != this->own.node.region)
    {
        return std::nullopt;
    }
    std::map<node_id, const member_record*> received;
    for (const member_record& claim : request.members)
    {
        this->merge(now, claim);
        received[claim.node.id] = &claim;
    }
    view_message response;
    response.region = this->own.node.region;
    response.sender = this->own.node.id;
    response.members.push_back(this->own);
    for (const auto& [id, known] : this->table.all())
    {
        const auto claim = received.find(id);
        if (claim == received.end() || *claim->second != known.record)
        {
            response.members.push_back(known.record);
        }
    }
    std::map<std::pair<std::string, node_id>, std::uint64_t> known_versions;
    for (const board_version& entry : request.known)
    {
        known_versions[{entry.topic, entry.node}] = entry.version;
    }
    for (const auto& [topic, values] : this->board.all())
    {
        for (const auto& [id, value] : values)
        {
            const auto version = known_versions.find({topic, id});
            if (version == known_versions.end() ||
                version->second < value.version)
            {
                response.items.push_back(
                    board_item{topic, id, value.version, value.value});
            }
        }
    }
    return response;
}

void membership::handle_exchange_response(time_point now,
                                          const view_message& response)
{
    if (this->gone || response.region != this->own.node.region)
    {
        return;
    }
    for (const member_record& claim : response.members)
    {
        this->merge(now, claim);
    }
    for (const board_item& item : response.items)
    {
        this->merge(item);
    }
}

} // namespace parsleytrack
