#pragma once

#include "units/finding.hpp"

#include <string_view>

namespace parsleytrack
{

/// Writes a line for each finding, at level error.
///
/// \param event The name of the event.
/// \param problems What was found.
void log_findings(std::string_view event, const findings& problems);

} // namespace parsleytrack
