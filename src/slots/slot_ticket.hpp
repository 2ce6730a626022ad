#pragma once

#include "units/strong_number.hpp"

namespace parsleytrack::slots
{

/// Names one request for a slot, from asking to giving back.
using slot_ticket = strong_number<struct slot_ticket_tag>;

} // namespace parsleytrack::slots
