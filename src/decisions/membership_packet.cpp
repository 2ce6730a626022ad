#include "decisions/membership_packet.hpp"

#include <string>

namespace parsleytrack
{

namespace
{

/// Field header and the longest variable-length integer.
constexpr std::size_t number_bytes = 11;
/// Field header and a port as a variable-length integer.
constexpr std::size_t port_bytes = 4;
constexpr std::size_t flag_bytes = 2;
/// Field header and the length of a string or list.
constexpr std::size_t length_bytes = 4;
constexpr std::size_t end_bytes = 1;

std::size_t text_size(const std::string& text)
{
    return length_bytes + text.size();
}

std::size_t endpoint_size(const endpoint& address)
{
    return text_size(address.host) + port_bytes;
}

} // namespace

std::size_t encoded_size_bound(const member_record& record)
{
    const node_info& node = record.node;
    constexpr std::size_t flags = 4 * flag_bytes;
    return text_size(node.id.str()) + endpoint_size(node.peer) +
           endpoint_size(node.http) + text_size(node.availability_zone.str()) +
           flags + 3 * number_bytes + end_bytes;
}

std::size_t encoded_size_bound(const board_item& item)
{
    return text_size(item.topic) + text_size(item.node.str()) + number_bytes +
           text_size(item.value) + end_bytes;
}

std::size_t encoded_size_bound(const membership_packet& packet)
{
    std::size_t size =
        flag_bytes + number_bytes + text_size(packet.region.str()) +
        text_size(packet.sender.str()) + text_size(packet.subject.str()) +
        endpoint_size(packet.subject_address) + 2 * length_bytes + end_bytes;
    for (const member_record& record : packet.members)
    {
        size += encoded_size_bound(record);
    }
    for (const board_item& item : packet.items)
    {
        size += encoded_size_bound(item);
    }
    return size;
}

} // namespace parsleytrack
