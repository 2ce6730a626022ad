#pragma once

namespace parsleytrack
{

/// Ends the process with a message when an invariant does not hold. Checked
/// in every build.
///
/// \param condition Whether the invariant holds.
/// \param description The invariant that was broken, as a sentence.
void check_invariant(bool condition, const char* description);

} // namespace parsleytrack
