#pragma once

#include <string>

namespace parsleytrack::relay
{

/// Names of the header fields with which callers, nodes and replicas describe a
/// request to each other. Set by the adapter.
struct header_names
{
    /// The caller's id for the request, different for each attempt.
    std::string request_id;
    /// Milliseconds that the caller, or the sender, will still wait.
    std::string remaining_time_ms;
    /// Id of the replica to which the request is addressed.
    std::string expected_replica;
    /// In a caller's request: the version of the model's weights that the
    /// replica must have; others refuse it as if it were misdirected.
    std::string expected_weights;
    /// Number of the last event received of a stream that is resumed.
    std::string resume_after;
    /// In a request that takes a stream up again: the id of the caller's
    /// attempt that brought the stream's first event.
    std::string resumed_request;
    /// Longest time in milliseconds that a read may wait for results.
    std::string wait_ms;
    /// In a response: the replica did not run the request.
    std::string not_executed;
    /// In a response: "1" when the replica is leaving.
    std::string leaving;
    /// In a response: the requests per second that the replica takes from all
    /// nodes together, while it names them.
    std::string limit;
    /// In a caller's request: the key of its workspace.
    std::string key;
    /// In a request to a replica: the name of the caller's workspace.
    std::string workspace;
    /// In a response: the replica's proof that the response is its own.
    std::string digest;
};

} // namespace parsleytrack::relay
