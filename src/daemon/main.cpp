#include "daemon/node.hpp"
#include "logging/log.hpp"
#include "logging/log_findings.hpp"
#include "net/event_loop.hpp"
#include "platform/run_on_platform.hpp"
#include "settings/settings_loader.hpp"
#include "units/allocator.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <variant>

DEFINE_string(settings, "", "Path of the settings file (JSON with comments)");
DEFINE_bool(relay, false,
            "Run as a relay node on the platform that platform/ translates");

namespace
{

constexpr int exit_refused = 1;
constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv)
{
    using namespace parsleytrack;
    // SIGHUP last: tests take it as the sign that all three are deferred.
    net::event_loop::defer_signal(SIGTERM);
    net::event_loop::defer_signal(SIGINT);
    net::event_loop::defer_signal(SIGHUP);
    gflags::SetUsageMessage("--settings FILE [--relay]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty())
    {
        log_event(log_level::error, "usage",
                  {{"message", "--settings FILE is needed"}});
        return exit_usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return_large_blocks_at_once();
    if (FLAGS_relay)
    {
        return platform::run_on_platform(FLAGS_settings);
    }
    auto outcome = settings::load_settings(FLAGS_settings);
    if (const auto* problems = std::get_if<findings>(&outcome))
    {
        log_findings("bad_settings", *problems);
        return exit_refused;
    }
    auto& node_settings = std::get<settings::node_settings>(outcome);
    configure_logging(node_settings.level, node_settings.id.str());
    node daemon(std::move(node_settings));
    const result<bool> started = daemon.start();
    if (started.has_error())
    {
        log_event(log_level::error, "cannot_start",
                  {{"reason", to_string(started.error().code)},
                   {"message", started.error().message}});
        return exit_refused;
    }
    daemon.run();
    return 0;
}
