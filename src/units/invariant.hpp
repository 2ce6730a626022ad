#pragma once

namespace parsleytrack
{

/// Aborts the process with a message on the standard error when an invariant
/// does not hold. Checked in release builds as well.
///
/// \param condition Whether the invariant holds.
/// \param description The violated invariant, as a sentence.
void check_invariant(bool condition, const char* description);

} // namespace parsleytrack
