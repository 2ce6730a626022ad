#pragma once

#include "units/numbers.hpp"
#include "units/time.hpp"

namespace parsleytrack::settings
{

/// Limits on requests and on the work that they cause.
struct limit_settings
{
    /// Maximum body size of an online request or a call to a plain service.
    byte_count online_body{1'048'576};
    /// Maximum size of one item of a batch job.
    byte_count batch_item{1'048'576};
    /// Maximum items in a batch job.
    int batch_items = 200'000;
    /// Maximum online requests queued at a gate, per slot of its replica.
    int queued_per_slot = 4;
    /// Maximum retries, as a fraction of first attempts.
    double retry_budget = 0.1;
    /// Maximum attempts per online request, including the first.
    int online_attempts = 3;
    /// Maximum attempts per batch item, including the first.
    int batch_attempts = 4;
    /// Maximum concurrent loads from the weight store in one region.
    int weight_loads = 4;
};

} // namespace parsleytrack::settings
