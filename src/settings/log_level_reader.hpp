#pragma once

#include "logging/log.hpp"
#include "settings/object_reader.hpp"

namespace parsleytrack::settings::detail
{

/// Reads the part "log".
///
/// \param reader The whole settings.
/// \param level Set when the part names one.
void read_log_level(object_reader& reader, log_level& level);

} // namespace parsleytrack::settings::detail
