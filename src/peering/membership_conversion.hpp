#pragma once

#include "decisions/membership_packet.hpp"
#include "decisions/view_message.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack
{

/// \returns The datagram that carries the packet.
std::string encode_packet(const membership_packet& packet);

/// \param bytes A received datagram.
/// \returns The packet without its invalid records, or
/// error_code::corrupt_data.
result<membership_packet> decode_packet(std::string_view bytes);

/// \param message Request or response of a full exchange.
std::string encode_view(const view_message& message);

/// \param bytes A received request or response of a full exchange.
/// \returns The message without its invalid records, or
/// error_code::corrupt_data.
result<view_message> decode_view(std::string_view bytes);

} // namespace parsleytrack
