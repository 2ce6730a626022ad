#pragma once

#include "units/finding.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace parsleytrack::settings::detail
{

/// Parses JSON with comments. A repeated field is a finding, since JSON
/// parsers differ on which of the two values they use.
///
/// \param text The document.
/// \param name Names the document in findings, such as its path.
/// \param problems Receives the findings.
/// \returns The document; null when it cannot be parsed.
nlohmann::json parse_document(std::string_view text, const std::string& name,
                              findings& problems);

} // namespace parsleytrack::settings::detail
