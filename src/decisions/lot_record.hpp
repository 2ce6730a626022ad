#pragma once

#include "decisions/placement.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace parsleytrack
{

/// The agreed state of one lot, as it stands in the platform's store. An item
/// has ended when, and only when, the record says so.
struct lot_record
{
    /// Empty when nobody owns the lot.
    node_id owner;
    /// Grows with each new owner.
    epoch_number epoch;
    /// Drawn by the owner for this epoch; tells a write of its own from one of
    /// an earlier process with the same node id.
    std::uint64_t claim = 0;
    /// Grows with each write of the owner.
    std::int64_t commit_number = 0;
    /// Segments of results, in the order of their commits.
    std::vector<placement> results;
    /// For each item whether its result is in one of the segments.
    std::vector<bool> ended;
    /// For each item that must not run twice whether it may have been begun.
    std::vector<bool> intended;

    /// \returns Whether every item has ended.
    bool complete() const
    {
        return std::find(this->ended.begin(), this->ended.end(), false) ==
               this->ended.end();
    }

    /// \returns Items that have ended.
    int ended_count() const
    {
        return static_cast<int>(
            std::count(this->ended.begin(), this->ended.end(), true));
    }

    bool operator==(const lot_record&) const = default;
};

} // namespace parsleytrack
