#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// What the one setting between online latency and batch throughput means. At
/// 0.5 batch gets all slots that online leaves free and gives them back at
/// once. Below, slots are kept free for online; above, online waits a moment
/// for a slot to become free by itself before batch is cancelled.
class trade_setting
{
public:
    /// \param batch_weight 0 favours online latency, 1 batch throughput.
    explicit trade_setting(double batch_weight);

    /// \returns Slots that batch does not take.
    int reserved_slots() const;

    /// \returns Whether batch whose prompt is still being processed is
    /// cancelled when online work starts beside it.
    bool keeps_prompts_apart() const;

    /// \returns How long online work waits before batch is cancelled for it.
    duration patience() const;

private:
    double weight;
};

} // namespace parsleytrack
