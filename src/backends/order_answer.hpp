#pragma once

#include "units/numbers.hpp"

namespace parsleytrack::backends
{

/// An engine's answer to an order.
struct order_answer
{
    /// False when the order's fencing number was too low.
    bool accepted = false;
    /// The highest number that the engine has seen; set when not accepted.
    fencing_number highest;
};

} // namespace parsleytrack::backends
