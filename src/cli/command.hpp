#pragma once

#include "cli/exit_code.hpp"
#include "cli/node_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// One command of the command line and how it is run.
struct command
{
    /// Words that select the command, such as {"job", "show"}.
    std::vector<std::string> words;
    /// Names of the arguments after them, such as {"ID"}.
    std::vector<std::string> arguments;
    /// One sentence for the help text.
    std::string help;
    /// Runs the command; gets the client and the arguments.
    std::function<exit_code(node_client&, const std::vector<std::string>&)> run;
};

/// \returns All commands except "load", which parses its own flags.
std::vector<command> all_commands();

/// The commands of each group.
std::vector<command> release_commands();
std::vector<command> job_commands();
std::vector<command> fleet_commands();
std::vector<command> settings_commands();
std::vector<command> relay_commands();

} // namespace parsleytrack::cli
