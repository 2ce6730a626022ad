#pragma once

#include "relay/replica_report.hpp"
#include "relay/slot_answer.hpp"
#include "relay/slot_order.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::relay
{

/// Bytes of messages between holders and brokers. Reading gives
/// error_code::corrupt_data for what cannot be read.
std::string encode(const slot_order& order);
result<slot_order> decode_slot_order(std::string_view bytes);

std::string encode(const slot_answer& answer);
result<slot_answer> decode_slot_answer(std::string_view bytes);

std::string encode(const replica_report& report);
result<replica_report> decode_replica_report(std::string_view bytes);

} // namespace parsleytrack::relay
