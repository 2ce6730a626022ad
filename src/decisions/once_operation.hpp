#pragma once

#include "decisions/once_entry.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <string>

namespace parsleytrack
{

/// Something that is to be agreed of one call. Repeating it with the same
/// claim changes nothing.
struct once_operation
{
    enum class kind
    {
        acquire,
        record,
        release
    };

    kind what = kind::acquire;
    /// Checksum of workspace and idempotency key.
    std::string key;
    /// For record: the answer. For all: the claim; for acquire the fingerprint
    /// and the holder.
    once_entry entry;
    /// An acquire that finds the call running waits no longer.
    time_point wait_until;
    /// The operation fails when it was not agreed until then.
    time_point give_up_at;
};

} // namespace parsleytrack
