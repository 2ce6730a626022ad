#pragma once

#include "units/strong_number.hpp"

namespace parsleytrack
{

/// One piece of work at one gate; unique within the gate's process.
using work_id = strong_number<struct work_id_tag>;

} // namespace parsleytrack
