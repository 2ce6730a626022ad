#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

namespace parsleytrack::relay
{

/// What a broker tells the holder of an order.
struct slot_response
{
    enum class status_code
    {
        /// The order waits for a slot; shows that the broker lives.
        queued,
        granted,
        refused,
        /// The slot is to be given back at once.
        reclaimed
    };

    status_code status = status_code::queued;
    /// Granted: where to.
    replica_id replica;
    /// Refused: when asking again may help.
    duration retry_after = duration::zero();
    /// Slots of the pool that are free, less the orders that wait.
    int spare = 0;
};

} // namespace parsleytrack::relay
