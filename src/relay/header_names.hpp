#pragma once

#include <string>

namespace parsleytrack::relay
{

/// Names of the header fields by which callers, nodes and replicas tell one
/// another about a request. The adapter sets them.
struct header_names
{
    /// The caller's name for the request; unique for each of its attempts.
    std::string request_id;
    /// How many milliseconds the caller, or the sender, will still wait.
    std::string remaining_time_ms;
    /// The replica that the request is meant for.
    std::string expected_replica;
    /// The last event that has been received of a resumed stream.
    std::string resume_after;
    /// How many milliseconds a read of results may be kept waiting.
    std::string wait_ms;
    /// In an answer: the replica did not run the request.
    std::string not_executed;
    /// In an answer: the replica's proof that the answer is its own.
    std::string digest;
};

} // namespace parsleytrack::relay
