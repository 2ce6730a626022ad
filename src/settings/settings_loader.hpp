#pragma once

#include "settings/node_settings.hpp"
#include "units/finding.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace parsleytrack::settings
{

/// The settings, or all findings when they are invalid.
using load_outcome = std::variant<node_settings, findings>;

/// Reads settings from JSON with comments.
///
/// \param text The document.
/// \param name Names the document in findings, such as its path.
/// \returns The settings, or every finding with its JSON pointer or line.
load_outcome parse_settings(std::string_view text, const std::string& name);

/// Reads settings from a file.
///
/// \param path The file.
/// \returns As parse_settings(); one finding when the file cannot be read.
load_outcome load_settings(const std::string& path);

} // namespace parsleytrack::settings
