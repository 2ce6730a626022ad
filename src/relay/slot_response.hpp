#pragma once

#include "relay/replica_limit.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <optional>

namespace parsleytrack::relay
{

/// A message from a broker about a slot request.
struct slot_response
{
    enum class status_code
    {
        /// The request waits for a slot; shows that the broker is alive.
        queued,
        granted,
        refused,
        /// The slot must be returned at once.
        reclaimed
    };

    status_code status = status_code::queued;
    /// Granted: the replica whose slot it is.
    replica_id replica;
    /// Refused: delay after which a retry may succeed.
    duration retry_after = duration::zero();
    /// Free slots of the pool minus the requests that wait.
    int spare = 0;
    /// Granted: what the broker knows of the replica's limit; absent when it
    /// has never named one to the broker's knowledge.
    std::optional<replica_limit> limit = std::nullopt;
};

} // namespace parsleytrack::relay
