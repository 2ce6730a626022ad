#pragma once

#include "decisions/seed_entry.hpp"

#include <string>
#include <vector>

namespace parsleytrack
{

/// \param seeds A region's list of seeds.
/// \returns Its value in the platform's store.
std::string encode_seeds(const std::vector<seed_entry>& seeds);

/// \param value The list's value in the platform's store.
/// \returns The list; what cannot be read is left out.
std::vector<seed_entry> decode_seeds(const std::string& value);

} // namespace parsleytrack
