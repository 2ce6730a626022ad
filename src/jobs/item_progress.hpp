#pragma once

#include "units/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace parsleytrack::jobs
{

/// The part of an item's response that has been received so far.
struct item_progress
{
    /// Number of the last event; 0 before the first.
    std::int64_t last_event = 0;
    /// The data of all events, separated by line feeds.
    std::string output;
    /// The version of the replicas that sent them; no other may go on.
    software_version version = {};
    /// The service of these replicas, for which the same holds.
    service_name service = {};

    /// Discards it, with the memory of the output, which an assignment keeps.
    void reset()
    {
        *this = item_progress();
        this->output.shrink_to_fit();
    }

    bool operator==(const item_progress&) const = default;
};

/// Progress of a job's items, by their position in the job.
using job_progress = std::map<std::size_t, item_progress>;

} // namespace parsleytrack::jobs
