#pragma once

#include "relay/relay_adapter.hpp"

#include <string>

namespace parsleytrack::relay
{

/// Runs a node from its settings until it is told to stop.
///
/// \param settings_path JSON with comments.
/// \param adapter What the world outside speaks.
/// \returns The exit code of the process.
int run_node(const std::string& settings_path, const relay_adapter& adapter);

} // namespace parsleytrack::relay
