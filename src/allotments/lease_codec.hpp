#pragma once

#include "allotments/lease_order.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::allotments
{

std::string encode(const lease_order& order);

/// \returns The order, or error_code::corrupt_data also for numbers that are
/// out of range.
result<lease_order> decode_lease_order(std::string_view bytes);

std::string encode(const lease_reply& reply);

/// \returns The reply, or error_code::corrupt_data also for numbers that are
/// out of range.
result<lease_reply> decode_lease_reply(std::string_view bytes);

} // namespace parsleytrack::allotments
