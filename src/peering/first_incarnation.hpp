#pragma once

#include "units/numbers.hpp"

#include <chrono>

namespace parsleytrack::peering
{

/// \returns An incarnation for a process that starts now, greater than those of
/// all earlier processes of the node.
inline incarnation_number first_incarnation()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return incarnation_number(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count());
}

} // namespace parsleytrack::peering
