#pragma once

#include "decisions/membership_packet.hpp"
#include "decisions/view_message.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack
{

/// \param packet A datagram of the membership.
/// \returns Its bytes.
std::string encode_packet(const membership_packet& packet);

/// \param bytes A datagram as received.
/// \returns The packet without the records that make no sense, or
/// error_code::corrupt_data.
result<membership_packet> decode_packet(std::string_view bytes);

/// \param message Half of a full exchange.
/// \returns Its bytes.
std::string encode_view(const view_message& message);

/// \param bytes Half of a full exchange as received.
/// \returns The message without the records that make no sense, or
/// error_code::corrupt_data.
result<view_message> decode_view(std::string_view bytes);

} // namespace parsleytrack
