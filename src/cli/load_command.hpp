#pragma once

namespace parsleytrack::cli
{

/// Runs "parsleytrack load".
///
/// \param argc Number of arguments.
/// \param argv The arguments; the first takes the place of the program name.
/// \returns The exit code of the process.
int run_load(int argc, char** argv);

} // namespace parsleytrack::cli
