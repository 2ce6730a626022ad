#pragma once

#include "daemon/forward_hooks.hpp"
#include "daemon/forward_request.hpp"

#include <map>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// Conversions between the requests of gates and their messages.

std::string encode_forward_request(const forward_request& request);

/// \returns The request, or error_code::corrupt_data.
result<forward_request> decode_forward_request(std::string_view bytes);

std::string encode_forward_head(const forward_head& head);

/// \returns The head, or error_code::corrupt_data.
result<forward_head> decode_forward_head(std::string_view bytes);

/// \param summaries What a node knows of the replicas that it is the gate of.
/// \returns The value for the gossip topic "gate".
std::string
encode_summaries(const std::map<replica_id, replica_summary>& summaries);

/// \param bytes A value of the gossip topic "gate".
/// \returns The summaries by replica_hash(); empty when it cannot be read.
std::map<std::int32_t, replica_summary>
decode_summaries(std::string_view bytes);

/// \returns What stands for a replica in gossip.
std::int32_t replica_hash(const replica_id& replica);

} // namespace parsleytrack
