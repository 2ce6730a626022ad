#pragma once

#include "settings/relay_settings.hpp"
#include "units/finding.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace parsleytrack::settings
{

/// The settings, or all that is wrong with them.
using relay_load_outcome = std::variant<relay_settings, findings>;

/// \param text JSON with comments.
/// \param name What stands for the document in findings.
relay_load_outcome parse_relay_settings(std::string_view text,
                                        const std::string& name);

/// \param path The settings file.
relay_load_outcome load_relay_settings(const std::string& path);

} // namespace parsleytrack::settings
