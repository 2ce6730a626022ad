#pragma once

#include "relay/origin_memory.hpp"
#include "relay/stream_origin.hpp"
#include "routing/version_history.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::relay
{

/// Asks a storage node what began a stream.
struct origin_inquiry
{
    /// The caller's attempt that brought the first event; empty if the caller
    /// does not name it.
    request_id request;
    /// The services that may have begun the stream.
    std::vector<service_name> services;
    /// The stream has begun within this time.
    duration within = duration::zero();
};

/// What a node knows of the origin of a stream.
struct origin_reply
{
    std::optional<stream_origin> origin;
    /// Whether the node has followed the list of replicas all the time in which
    /// the stream may have begun.
    bool has_observed = false;
    /// Whether the candidates include those from before the node was started
    /// again, which may be out of date.
    bool remembers = false;
    /// What may have begun the stream, as far as the node knows.
    std::vector<stream_origin> candidates;
};

/// \returns What a node that has this knowledge can say of a stream's origin.
origin_reply view_of(const origin_inquiry& inquiry, const origin_memory& memory,
                     const routing::version_history& history, time_point now);

/// Encoding of the messages between relay nodes and storage nodes. Decoding
/// fails with error_code::corrupt_data for malformed bytes. Messages contain
/// spans, since nodes do not share a clock; \p now is the time at the node that
/// encodes or decodes.
std::string encode(const std::vector<origin_memory::entry>& notice,
                   time_point now);
result<std::vector<origin_memory::entry>>
decode_origin_notice(std::string_view bytes, time_point now);

std::string encode(const origin_inquiry& inquiry);
result<origin_inquiry> decode_origin_inquiry(std::string_view bytes);

std::string encode(const origin_reply& reply);
result<origin_reply> decode_origin_reply(std::string_view bytes);

} // namespace parsleytrack::relay
