#pragma once

#include <cstddef>

namespace parsleytrack
{

/// \returns The number of descriptors that this process may open.
std::size_t descriptor_limit();

} // namespace parsleytrack
