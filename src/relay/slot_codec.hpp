#pragma once

#include "relay/replica_report.hpp"
#include "relay/slot_request.hpp"
#include "relay/slot_response.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::relay
{

/// Encoding of the messages between slot clients and brokers. Decoding fails
/// with error_code::corrupt_data for malformed bytes. Messages contain ages,
/// since nodes do not share a clock; \p now is the time at the node that
/// encodes or decodes.
std::string encode(const slot_request& request);
result<slot_request> decode_slot_request(std::string_view bytes);

std::string encode(const slot_response& response, time_point now);
result<slot_response> decode_slot_response(std::string_view bytes,
                                           time_point now);

std::string encode(const replica_report& report, time_point now);
result<replica_report> decode_replica_report(std::string_view bytes,
                                             time_point now);

} // namespace parsleytrack::relay
