#pragma once

#include "decisions/job_record.hpp"
#include "decisions/lot_record.hpp"

#include <map>

namespace parsleytrack
{

/// A job's record and those of its lots, as far as they exist.
struct job_progress
{
    job_record job;
    std::map<int, lot_record> lots;

    /// \returns Items with a committed result.
    int ended_items() const;

    /// \returns Lots of which every item has ended.
    int ended_lots() const;

    /// \returns Whether every item has a committed result.
    bool ended() const
    {
        return this->ended_lots() == static_cast<int>(this->job.lots.size());
    }

    /// \returns "in_progress", "cancelling", "cancelled" or "completed".
    const char* status() const;
};

} // namespace parsleytrack
