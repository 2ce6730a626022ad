#pragma once

#include "logging/log.hpp"
#include "settings/object_reader.hpp"

namespace parsleytrack::settings::detail
{

/// Reads the section "log".
///
/// \param reader The outermost object of the settings document.
/// \param level Receives the level; info when none is given.
void read_log_level(object_reader& reader, log_level& level);

} // namespace parsleytrack::settings::detail
