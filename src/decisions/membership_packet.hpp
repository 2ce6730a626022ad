#pragma once

#include "decisions/board_item.hpp"
#include "decisions/member_record.hpp"
#include "units/endpoint.hpp"
#include "units/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace parsleytrack
{

/// The purpose of a membership datagram.
enum class membership_packet_kind
{
    /// Asks the subject for an acknowledgement.
    probe,
    /// Confirms that the subject is alive.
    acknowledgement,
    /// Asks the receiver to probe the subject on behalf of the sender.
    indirect_probe,
    /// Carries only member records and board values.
    gossip
};

/// One datagram of the membership protocol.
struct membership_packet
{
    membership_packet_kind kind = membership_packet_kind::gossip;
    /// Matches an acknowledgement to its probe.
    std::int64_t sequence = 0;
    region_name region;
    node_id sender;
    /// The node that is probed, or that is confirmed alive.
    node_id subject;
    /// The subject's address, for an indirect probe.
    endpoint subject_address;
    std::vector<member_record> members;
    std::vector<board_item> items;
};

/// Upper bounds of the encoded sizes in bytes. They are estimated here since
/// this package may not depend on the encoder.
std::size_t encoded_size_bound(const member_record& record);
std::size_t encoded_size_bound(const board_item& item);
std::size_t encoded_size_bound(const membership_packet& packet);

} // namespace parsleytrack
