#pragma once

#include "decisions/once_entry.hpp"

namespace parsleytrack
{

/// What has come of an operation.
struct once_outcome
{
    enum class kind
    {
        /// The holder of the claim, and nobody else, may send the call.
        granted,
        /// The call has run; the entry holds the answer.
        recorded,
        /// A run was begun and its answer is not known.
        may_have_run,
        /// The key belongs to another call.
        conflict,
        /// The answer was kept, or the claim given up.
        done,
        /// The claim is not the one of the entry.
        not_held,
        /// The page is full.
        full,
        /// The store cannot be reached.
        unavailable
    };

    kind what = kind::unavailable;
    once_entry entry;
};

} // namespace parsleytrack
