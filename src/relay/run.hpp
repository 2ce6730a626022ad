#pragma once

#include "relay/relay_dialect.hpp"

#include <string>

namespace parsleytrack::relay
{

/// Runs a node from its settings until it is told to stop.
///
/// \param settings_path JSON with comments.
/// \param dialect What the world outside speaks.
/// \returns The exit code of the process.
int run_node(const std::string& settings_path, const relay_dialect& dialect);

} // namespace parsleytrack::relay
