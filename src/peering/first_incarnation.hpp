#pragma once

#include "units/numbers.hpp"
#include "units/random_source.hpp"
#include "units/wall_clock.hpp"

namespace parsleytrack::peering
{

/// \returns An incarnation for a process that starts now. Usually greater than
/// those of earlier processes of the node, so that the others accept it at
/// once. After a step back of the clock it is not; the process then learns the
/// higher incarnation from the others and exceeds it.
inline incarnation_number first_incarnation()
{
    return incarnation_number(wall_clock_us());
}

/// \returns A number that no other process of the node has had.
inline process_number draw_process_number(random_source& random)
{
    std::uniform_int_distribution<std::int64_t> draw;
    return process_number(draw(random));
}

} // namespace parsleytrack::peering
