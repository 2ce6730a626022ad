#pragma once

#include "decisions/region_summary.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// \param summaries What is known of the regions.
/// \returns Its bytes.
std::string encode_regions(const std::vector<region_summary>& summaries);

/// \param bytes As received.
/// \returns The summaries, or error_code::corrupt_data.
result<std::vector<region_summary>> decode_regions(std::string_view bytes);

} // namespace parsleytrack
