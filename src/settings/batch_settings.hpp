#pragma once

#include "units/time.hpp"

namespace parsleytrack::settings
{

/// How batch jobs are split into lots and stored.
struct batch_settings
{
    /// Maximum items in one lot.
    int lot_items = 2000;
    /// Number of keepers that store a copy of each segment.
    int copies = 3;
    /// Validity of a lot's lease without renewal.
    duration lease = std::chrono::seconds(8);
    /// Maximum time that results wait to be committed as a group.
    duration commit_interval = std::chrono::seconds(2);
    /// How long the results of a finished job are kept.
    duration result_retention = std::chrono::hours(24 * 30);
};

} // namespace parsleytrack::settings
