#include "cli/command_line.hpp"
#include "cli/load_command.hpp"

#include <csignal>
#include <string_view>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // "load" has its own flags and parses the whole command line itself.
    if (argc > 1 && std::string_view(argv[1]) == "load")
    {
        return parsleytrack::cli::run_load(argc - 1, argv + 1);
    }
    return static_cast<int>(parsleytrack::cli::run_command_line(argc, argv));
}
