#include "relay/run.hpp"

#include "logging/log.hpp"
#include "logging/log_findings.hpp"
#include "relay/relay_node.hpp"
#include "relay/storage_node.hpp"
#include "settings/relay_settings_loader.hpp"

#include <variant>

namespace parsleytrack::relay
{

namespace
{

constexpr int exit_refused = 1;

/// \returns The exit code of the program.
template <class Node>
int run(Node& node)
{
    const result<bool> started = node.start();
    if (started.has_error())
    {
        log_event(log_level::error, "cannot_start",
                  {{"reason", to_string(started.error().code)},
                   {"message", started.error().message}});
        return exit_refused;
    }
    node.run();
    return 0;
}

} // namespace

int run_node(const std::string& settings_path, const relay_adapter& adapter)
{
    const auto outcome = settings::load_relay_settings(settings_path);
    if (const auto* problems = std::get_if<findings>(&outcome))
    {
        log_findings("bad_settings", *problems);
        return exit_refused;
    }
    const auto& settings = std::get<settings::relay_settings>(outcome);
    configure_logging(settings.level, settings.id.str());
    if (!settings.front)
    {
        storage_node node(settings, adapter);
        return run(node);
    }
    relay_node node(settings, settings_path, adapter);
    return run(node);
}

} // namespace parsleytrack::relay
