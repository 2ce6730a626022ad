#pragma once

namespace parsleytrack::routing
{

/// How the requests of a route may be executed.
enum class request_kind
{
    /// Idempotent; may run more than once.
    idempotent,
    /// May run at most once for each attempt of the caller.
    at_most_once,
    /// The response is a stream of events.
    streaming,
    /// Submissions of batch jobs.
    batch
};

/// \returns The name used in logs and metric labels.
constexpr const char* to_string(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at_most_once";
    case request_kind::streaming:
        return "streaming";
    case request_kind::batch:
        return "batch";
    }
    return "unknown";
}

} // namespace parsleytrack::routing
