#pragma once

#include "cli/exit_code.hpp"

namespace parsleytrack::cli
{

/// Runs the command that the arguments name.
///
/// \param argc As passed to main().
/// \param argv As passed to main().
/// \returns The exit code of the process.
exit_code run_command_line(int argc, char** argv);

} // namespace parsleytrack::cli
