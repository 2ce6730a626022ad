#pragma once

#include "units/finding.hpp"

#include <string>
#include <variant>

namespace parsleytrack::settings::detail
{

/// \param path A settings file.
/// \returns Its text, or one finding with the reason why it cannot be read.
std::variant<std::string, findings> read_settings_file(const std::string& path);

} // namespace parsleytrack::settings::detail
