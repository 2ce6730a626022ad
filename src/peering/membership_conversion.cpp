#include "peering/membership_conversion.hpp"

#include "wire/codec.hpp"
#include "wire/generated/membership_types.h"

#include <arpa/inet.h>

#include <limits>
#include <optional>
#include <vector>

namespace parsleytrack
{

namespace
{

/// Incarnations and versions start as the wall clock's microseconds and are
/// then incremented. A larger number is corrupt and would leave no room for
/// increments.
constexpr std::int64_t max_clock_number = 100'000'000'000'000'000;

bool is_clock_number(std::int64_t number)
{
    return number >= 0 && number < max_clock_number;
}

wire::member_state::type to_wire(node_state state)
{
    switch (state)
    {
    case node_state::suspect:
        return wire::member_state::suspect;
    case node_state::dead:
        return wire::member_state::dead;
    default:
        return wire::member_state::alive;
    }
}

wire::member to_wire(const member_record& record)
{
    const node_info& node = record.node;
    wire::member message;
    message.id = node.id.str();
    message.incarnation = node.incarnation.count();
    message.state = to_wire(node.state);
    message.leaving = record.leaving;
    message.peer_host = node.peer.host;
    message.peer_port = node.peer.port;
    message.http_host = node.http.host;
    message.http_port = node.http.port;
    message.availability_zone = node.availability_zone.str();
    message.entry_node = node.entry;
    message.keeper = node.keeper;
    message.capacity = node.capacity;
    message.started_as = node.process.count();
    if (!node.reaches_replicas)
    {
        message.__set_stranded(true);
    }
    return message;
}

wire::board_value to_wire(const board_item& item)
{
    wire::board_value message;
    message.topic = item.topic;
    message.node = item.node.str();
    message.version = static_cast<std::int64_t>(item.version);
    message.value = item.value;
    return message;
}

std::optional<node_state> to_state(wire::member_state::type state)
{
    switch (state)
    {
    case wire::member_state::alive:
        return node_state::alive;
    case wire::member_state::suspect:
        return node_state::suspect;
    case wire::member_state::dead:
        return node_state::dead;
    }
    return std::nullopt;
}

std::optional<endpoint> to_endpoint(const std::string& host, std::int32_t port)
{
    in_addr address{};
    if (port <= 0 || port > std::numeric_limits<std::uint16_t>::max() ||
        ::inet_pton(AF_INET, host.c_str(), &address) != 1)
    {
        return std::nullopt;
    }
    return endpoint{host, static_cast<std::uint16_t>(port)};
}

std::optional<member_record> to_record(const wire::member& message,
                                       const region_name& region)
{
    const auto state = to_state(message.state);
    const auto peer = to_endpoint(message.peer_host, message.peer_port);
    const auto http = to_endpoint(message.http_host, message.http_port);
    if (message.id.empty() || !is_clock_number(message.incarnation) || !state ||
        !peer || !http)
    {
        return std::nullopt;
    }
    member_record record;
    record.leaving = message.leaving;
    record.node.id = node_id(message.id);
    record.node.incarnation = incarnation_number(message.incarnation);
    record.node.state = *state;
    record.node.peer = *peer;
    record.node.http = *http;
    record.node.region = region;
    record.node.availability_zone =
        availability_zone_name(message.availability_zone);
    record.node.entry = message.entry_node;
    record.node.keeper = message.keeper;
    record.node.capacity = message.capacity;
    record.node.process = process_number(message.started_as);
    record.node.reaches_replicas = !message.stranded;
    return record;
}

std::vector<member_record> to_records(const std::vector<wire::member>& messages,
                                      const region_name& region)
{
    std::vector<member_record> records;
    for (const wire::member& message : messages)
    {
        if (auto record = to_record(message, region))
        {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

std::vector<board_item> to_items(const std::vector<wire::board_value>& messages)
{
    std::vector<board_item> items;
    for (const wire::board_value& message : messages)
    {
        if (message.node.empty() || !is_clock_number(message.version))
        {
            continue;
        }
        items.push_back(board_item{message.topic, node_id(message.node),
                                   static_cast<std::uint64_t>(message.version),
                                   message.value});
    }
    return items;
}

std::optional<membership_packet_kind> to_kind(wire::datagram_kind::type kind)
{
    switch (kind)
    {
    case wire::datagram_kind::probe:
        return membership_packet_kind::probe;
    case wire::datagram_kind::acknowledgement:
        return membership_packet_kind::acknowledgement;
    case wire::datagram_kind::indirect_probe:
        return membership_packet_kind::indirect_probe;
    case wire::datagram_kind::gossip:
        return membership_packet_kind::gossip;
    }
    return std::nullopt;
}

wire::datagram_kind::type to_wire(membership_packet_kind kind)
{
    switch (kind)
    {
    case membership_packet_kind::probe:
        return wire::datagram_kind::probe;
    case membership_packet_kind::acknowledgement:
        return wire::datagram_kind::acknowledgement;
    case membership_packet_kind::indirect_probe:
        return wire::datagram_kind::indirect_probe;
    case membership_packet_kind::gossip:
        break;
    }
    return wire::datagram_kind::gossip;
}

error corrupt(const char* message)
{
    return error{error_code::corrupt_data, message, ran_state::no, {}};
}

} // namespace

std::string encode_packet(const membership_packet& packet)
{
    wire::membership_datagram message;
    message.kind = to_wire(packet.kind);
    message.sequence = packet.sequence;
    message.region = packet.region.str();
    message.sender = packet.sender.str();
    message.subject = packet.subject.str();
    message.subject_host = packet.subject_address.host;
    message.subject_port = packet.subject_address.port;
    for (const member_record& record : packet.members)
    {
        message.members.push_back(to_wire(record));
    }
    for (const board_item& item : packet.items)
    {
        message.items.push_back(to_wire(item));
    }
    return wire::encode(message);
}

result<membership_packet> decode_packet(std::string_view bytes)
{
    const auto decoded = wire::decode<wire::membership_datagram>(bytes);
    if (decoded.has_error())
    {
        return decoded.error();
    }
    const wire::membership_datagram& message = decoded.value();
    const auto kind = to_kind(message.kind);
    const auto subject =
        to_endpoint(message.subject_host, message.subject_port);
    const bool needs_address = kind == membership_packet_kind::indirect_probe;
    if (!kind || message.sender.empty() || (needs_address && !subject))
    {
        return corrupt("invalid membership datagram");
    }
    membership_packet packet;
    packet.kind = *kind;
    packet.sequence = message.sequence;
    packet.region = region_name(message.region);
    packet.sender = node_id(message.sender);
    packet.subject = node_id(message.subject);
    packet.subject_address = subject.value_or(endpoint());
    packet.members = to_records(message.members, packet.region);
    packet.items = to_items(message.items);
    return packet;
}

std::string encode_view(const view_message& view)
{
    wire::view message;
    message.region = view.region.str();
    message.sender = view.sender.str();
    for (const member_record& record : view.members)
    {
        message.members.push_back(to_wire(record));
    }
    for (const board_version& entry : view.known)
    {
        wire::held_value held;
        held.topic = entry.topic;
        held.node = entry.node.str();
        held.version = static_cast<std::int64_t>(entry.version);
        message.known.push_back(std::move(held));
    }
    for (const board_item& item : view.items)
    {
        message.items.push_back(to_wire(item));
    }
    return wire::encode(message);
}

result<view_message> decode_view(std::string_view bytes)
{
    const auto decoded = wire::decode<wire::view>(bytes);
    if (decoded.has_error())
    {
        return decoded.error();
    }
    const wire::view& message = decoded.value();
    if (message.sender.empty())
    {
        return corrupt("a view without a sender");
    }
    view_message view;
    view.region = region_name(message.region);
    view.sender = node_id(message.sender);
    view.members = to_records(message.members, view.region);
    view.items = to_items(message.items);
    for (const wire::held_value& held : message.known)
    {
        view.known.push_back(
            board_version{held.topic, node_id(held.node),
                          static_cast<std::uint64_t>(held.version)});
    }
    return view;
}

} // namespace parsleytrack
