#pragma once

#include "units/finding.hpp"

#include <string_view>

namespace parsleytrack
{

/// Logs each finding as one line at level error.
///
/// \param event The name of the event, in snake_case.
void log_findings(std::string_view event, const findings& problems);

} // namespace parsleytrack
