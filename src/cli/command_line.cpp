#include "cli/command_line.hpp"

#include "cli/command.hpp"
#include "cli/flags.hpp"
#include "cli/node_list.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

namespace parsleytrack::cli
{

namespace
{

std::string usage_of(const command& entry)
{
    std::string text = "parsleytrack";
    for (const std::string& word : entry.words)
    {
        text += " " + word;
    }
    for (const std::string& argument : entry.arguments)
    {
        text += " " + argument;
    }
    return text;
}

void print_help(std::ostream& out, const std::vector<command>& commands)
{
    out << "Usage: parsleytrack COMMAND [--flags]\n\n";
    for (const command& entry : commands)
    {
        out << "  " << usage_of(entry) << "\n      " << entry.help << '\n';
    }
    out << "  parsleytrack load --help\n"
           "      Generates load on a fleet and reports latency and "
           "throughput.\n\n"
           "Flags:\n";
    for (const char* name :
         {"nodes", "json", "workspace", "deadline_s", "key", "expected_version",
          "service", "wait", "timeout_s"})
    {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(name);
        out << "  --" << flag.name << "  " << flag.description
            << " (default: " << flag.default_value << ")\n";
    }
    out << "\nExit codes: 0 done, 1 refused, 2 usage, 3 unreachable.\n";
}

/// Finds the command whose words the arguments begin with.
const command* find_command(const std::vector<command>& commands,
                            const std::vector<std::string>& words)
{
    for (const command& entry : commands)
    {
        if (words.size() >= entry.words.size() &&
            std::equal(entry.words.begin(), entry.words.end(), words.begin()))
        {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

std::vector<command> all_commands()
{
    std::vector<command> commands;
    for (const auto& group :
         {release_commands(), job_commands(), fleet_commands(),
          settings_commands(), relay_commands()})
    {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

exit_code run_command_line(int argc, char** argv)
{
    const std::vector<command> commands = all_commands();
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    const command* chosen = find_command(commands, words);
    if (FLAGS_help)
    {
        if (chosen == nullptr)
        {
            print_help(std::cout, commands);
            return exit_code::done;
        }
        std::cout << usage_of(*chosen) << '\n' << chosen->help << '\n';
        return exit_code::done;
    }
    if (chosen == nullptr)
    {
        std::cerr << "no such command\n";
        print_help(std::cerr, commands);
        return exit_code::usage;
    }
    const std::vector<std::string> arguments(
        words.begin() + static_cast<std::ptrdiff_t>(chosen->words.size()),
        words.end());
    if (arguments.size() != chosen->arguments.size())
    {
        std::cerr << "Usage: " << usage_of(*chosen) << '\n';
        return exit_code::usage;
    }
    const auto nodes = parse_nodes(FLAGS_nodes);
    if (!nodes)
    {
        std::cerr << "--nodes must be IP:PORT,IP:PORT\n";
        return exit_code::usage;
    }
    node_client client(*nodes, std::chrono::seconds(FLAGS_timeout_s));
    return chosen->run(client, arguments);
}

} // namespace parsleytrack::cli
