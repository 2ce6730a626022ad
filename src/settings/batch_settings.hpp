#pragma once

#include "units/time.hpp"

namespace parsleytrack::settings
{

/// How batch jobs are cut and kept.
struct batch_settings
{
    /// Most items in one lot.
    int lot_items = 2000;
    /// Keepers that hold a copy of each segment.
    int copies = 3;
    /// How long a lot's lease lasts without renewal.
    duration lease = std::chrono::seconds(8);
    /// The most time that results wait to be committed together.
    duration commit_interval = std::chrono::seconds(2);
    /// How long the results of a finished job are kept.
    duration result_retention = std::chrono::hours(24 * 30);
};

} // namespace parsleytrack::settings
