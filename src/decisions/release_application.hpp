#pragma once

#include "decisions/catalogue.hpp"
#include "decisions/release_note.hpp"
#include "units/finding.hpp"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace parsleytrack
{

/// Applies a note to a catalogue: first what is withdrawn, then what is
/// changed, then what is added. A changed model has only the version that the
/// note gives.
///
/// \param base The catalogue in force.
/// \param note A note of the right form.
/// \param services The services that can serve models; empty for "any".
/// \returns The next catalogue, with the next version, or all that is wrong
/// with the note.
std::variant<catalogue, findings>
apply_release_note(const catalogue& base, const release_note& note,
                   const std::set<service_name>& services);

/// \returns What one catalogue has otherwise than another, one line each.
std::vector<std::string> differences(const catalogue& before,
                                     const catalogue& after);

} // namespace parsleytrack
