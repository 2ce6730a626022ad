#pragma once

#include "units/time.hpp"

#include <cstdint>

namespace parsleytrack::sharing
{

/// Adds up to half to a delay, so that callers who are refused together do not
/// return together.
///
/// \param number Consecutive numbers of refused requests give delays that are
/// evenly spread.
duration spread_retry(duration delay, std::int64_t number);

} // namespace parsleytrack::sharing
