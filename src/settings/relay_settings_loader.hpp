#pragma once

#include "settings/relay_settings.hpp"
#include "units/finding.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace parsleytrack::settings
{

/// The settings, or all findings when they are invalid.
using relay_load_outcome = std::variant<relay_settings, findings>;

/// \param text JSON with comments.
/// \param name Names the document in findings, such as its path.
/// \returns The settings, or every finding with its JSON pointer or line.
relay_load_outcome parse_relay_settings(std::string_view text,
                                        const std::string& name);

/// \param path The settings file.
/// \returns As parse_relay_settings(); one finding when the file cannot be
/// read.
relay_load_outcome load_relay_settings(const std::string& path);

} // namespace parsleytrack::settings
