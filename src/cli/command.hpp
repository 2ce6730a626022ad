#pragma once

#include "cli/exit_code.hpp"
#include "cli/node_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// One command of the command line.
struct command
{
    /// Its words, such as {"job", "show"}.
    std::vector<std::string> words;
    /// Names of its arguments, such as {"ID"}.
    std::vector<std::string> arguments;
    /// One sentence.
    std::string help;
    /// Does it.
    std::function<exit_code(node_client&, const std::vector<std::string>&)> run;
};

/// \returns All commands but "load", which reads its own flags.
std::vector<command> all_commands();

/// The commands of one matter.
std::vector<command> release_commands();
std::vector<command> job_commands();
std::vector<command> fleet_commands();
std::vector<command> settings_commands();
std::vector<command> relay_commands();

} // namespace parsleytrack::cli
