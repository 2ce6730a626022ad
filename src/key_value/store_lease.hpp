#pragma once

#include "units/strong_number.hpp"

namespace parsleytrack::key_value
{

/// Id of a lease in the platform's store; 0 stands for "no lease".
using store_lease = strong_number<struct store_lease_tag>;

} // namespace parsleytrack::key_value
