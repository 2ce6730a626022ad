#pragma once

#include "units/strong_number.hpp"

namespace parsleytrack::slots
{

/// Identifies a slot request until it is refused or its slot is returned.
using slot_ticket = strong_number<struct slot_ticket_tag>;

} // namespace parsleytrack::slots
