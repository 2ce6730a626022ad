#pragma once

#include "net/http_header_list.hpp"
#include "relay/stream_origin.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// Header fields of a request that one node sends to another one because it
/// reaches no replica, and of the response.
namespace hop_fields
{
/// In a request: how often it may have been run before.
inline constexpr const char* runs = "Relay-Runs";
/// In a request: the service and the version that began the stream.
inline constexpr const char* service = "Relay-Service";
/// The same; in a response, the version of the replica that answers.
inline constexpr const char* version = "Relay-Version";
/// In a refusal: the node reaches no replica either.
inline constexpr const char* stranded = "Relay-Stranded";
} // namespace hop_fields

/// What a node says of a request that it sends to another node.
struct relay_hop
{
    /// How often the request may have been run before.
    int runs = 0;
    /// Set once the stream has begun.
    std::optional<stream_origin> origin;
};

/// \returns The header fields for a request.
net::http_header_list to_headers(const relay_hop& hop);

/// \returns What the header fields of a request say; absent if it comes from a
/// caller.
std::optional<relay_hop> read_hop(const net::http_header_list& headers);

/// Removes the header fields that only nodes send to each other.
void erase_hop_fields(net::http_header_list& headers);

} // namespace parsleytrack::relay
