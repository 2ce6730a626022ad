#pragma once

#include "relay/relay_adapter.hpp"

#include <string>

namespace parsleytrack::relay
{

/// Loads the settings and runs a node until a signal stops it.
///
/// \param settings_path A file of JSON with comments.
/// \param adapter Translates the platform's messages and records.
/// \returns The exit code of the process.
int run_node(const std::string& settings_path, const relay_adapter& adapter);

} // namespace parsleytrack::relay
