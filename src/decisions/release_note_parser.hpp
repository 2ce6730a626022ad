#pragma once

#include "decisions/release_note.hpp"
#include "units/finding.hpp"

#include <string_view>
#include <variant>

namespace parsleytrack
{

/// Reads a release note.
///
/// \param text JSON, as an operator has sent it.
/// \returns The note, or all that is wrong with its form, each with its JSON
/// pointer.
std::variant<release_note, findings> parse_release_note(std::string_view text);

} // namespace parsleytrack
