#pragma once

#include <string>

namespace parsleytrack
{

/// \returns What the program was built from: the commit, or the version where
/// the sources were built without their history.
std::string build_name();

} // namespace parsleytrack
