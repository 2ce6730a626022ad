#include "cli/command.hpp"
#include "cli/flags.hpp"
#include "cli/table.hpp"
#include "settings/relay_settings_loader.hpp"
#include "settings/settings_loader.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <variant>

namespace parsleytrack::cli
{

namespace
{

using json = nlohmann::json;

/// \returns All findings in a settings file; empty when it is valid.
findings find_problems(const std::string& path)
{
    const auto problems_of = [](const auto& outcome)
    {
        const auto* problems = std::get_if<findings>(&outcome);
        return problems == nullptr ? findings() : *problems;
    };
    return FLAGS_relay ? problems_of(settings::load_relay_settings(path))
                       : problems_of(settings::load_settings(path));
}

exit_code check_settings(node_client&,
                         const std::vector<std::string>& arguments)
{
    const findings problems = find_problems(arguments.at(0));
    if (FLAGS_json)
    {
        json list = json::array();
        for (const finding& problem : problems)
        {
            list.push_back(
                {{"place", problem.location}, {"message", problem.message}});
        }
        std::cout << json{{"findings", list}}.dump() << '\n';
        return problems.empty() ? exit_code::done : exit_code::refused;
    }
    if (problems.empty())
    {
        std::cout << arguments.at(0) << ": no findings\n";
        return exit_code::done;
    }
    table rows({"PLACE", "FINDING"});
    for (const finding& problem : problems)
    {
        rows.add({problem.location, problem.message});
    }
    rows.print(std::cout);
    return exit_code::refused;
}

} // namespace

std::vector<command> settings_commands()
{
    return {
        {{"settings", "check"},
         {"FILE"},
         "Checks a settings file without contacting a node; --relay for the "
         "settings of a relay node.",
         check_settings}};
}

} // namespace parsleytrack::cli
