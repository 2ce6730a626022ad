#pragma once

#include "decisions/engine_order.hpp"

#include <optional>
#include <string_view>

namespace parsleytrack
{

/// What is to be done for one engine now.
struct order_step
{
    /// Ask the engine for its state.
    bool read_state = false;
    /// The lease on orders to this engine is needed; when false, it can be
    /// given back.
    bool needs_lease = false;
    /// A load waits for a slot of the load budget.
    bool needs_slot = false;
    /// Send this order.
    std::optional<engine_order> send;
    /// Why nothing is sent although the engine differs; empty otherwise.
    std::string_view waits_for;
};

} // namespace parsleytrack
