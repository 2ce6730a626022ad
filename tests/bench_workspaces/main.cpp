#include "platform/configuration_decoder.hpp"
#include "relay_support/relay_fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <iostream>
#include <stdexcept>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay_support;

namespace
{

/// New versions of the configuration for each case.
constexpr int reloads = 10;
constexpr int first_version = 4;

struct measured_case
{
    int workspaces = 0;
    int keys_per_workspace = 0;
    /// Characters of a key.
    std::size_t key_length = 40;
};

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double to_mb(std::size_t bytes)
{
    return static_cast<double>(bytes) / 1e6;
}

/// \returns A configuration with the same workspaces and keys in each version.
std::string configuration(const measured_case& chosen, int version)
{
    nlohmann::json document =
        nlohmann::json::parse(relay_fleet::configuration(version, "/plain/"));
    for (int number = 0; number < chosen.workspaces; ++number)
    {
        const std::string name = "workspace-" + std::to_string(number);
        nlohmann::json keys = nlohmann::json::array();
        for (int key = 0; key < chosen.keys_per_workspace; ++key)
        {
            std::string text =
                std::to_string(number) + "-" + std::to_string(key) + "-";
            text.resize(chosen.key_length, 'k');
            keys.push_back(text);
        }
        document["tenants"].push_back({{"name", name},
                                       {"apiKeys", keys},
                                       {"ratePerS", 20.0},
                                       {"burst", 10.0},
                                       {"priority", number % 4}});
    }
    return document.dump();
}

/// \returns The time to decode a configuration, during which a node does
/// nothing else.
duration decode_time(const std::string& text)
{
    const time_point begin = net::event_loop::now();
    const auto decoded = platform::decode_configuration(text);
    if (decoded.has_error())
    {
        throw std::runtime_error(decoded.error().message);
    }
    return net::event_loop::now() - begin;
}

/// Writes a configuration and waits until the node has it in force.
///
/// \returns The time from the write until the node reports the version.
duration reload(relay_fleet& fleet, const std::string& text, int version)
{
    const time_point begin = net::event_loop::now();
    fleet.store.put("op/config", text);
    const bool in_force = fleet.wait(
        [&fleet, version]
        { return fleet.status(0)["configuration"]["version"] == version; });
    if (!in_force)
    {
        throw std::runtime_error("a configuration did not come into force");
    }
    return net::event_loop::now() - begin;
}

void measure(const measured_case& chosen)
{
    relay_fleet fleet(1);
    fleet.wait_ready(0);
    const std::size_t before = fleet.process(0).peak_memory_bytes();
    duration decoding = duration::zero();
    duration longest = duration::zero();
    duration sum = duration::zero();
    std::size_t after_first = 0;
    std::size_t bytes = 0;
    const duration processor_before = fleet.process(0).processor_time();
    for (int number = 0; number < reloads; ++number)
    {
        const int version = first_version + number;
        const std::string text = configuration(chosen, version);
        bytes = text.size();
        decoding += decode_time(text);
        const duration taken = reload(fleet, text, version);
        longest = std::max(longest, taken);
        sum += taken;
        if (number == 0)
        {
            after_first = fleet.process(0).peak_memory_bytes();
        }
    }
    const duration processor =
        fleet.process(0).processor_time() - processor_before;
    std::cout << chosen.workspaces << " workspaces, "
              << chosen.workspaces * chosen.keys_per_workspace << " keys of "
              << chosen.key_length << " characters, " << to_mb(bytes)
              << " MB: peak memory MB " << to_mb(before) << " before, "
              << to_mb(after_first) << " after the first, "
              << to_mb(fleet.process(0).peak_memory_bytes()) << " after "
              << reloads << " versions; in force after ms "
              << to_ms(sum) / reloads << " mean, " << to_ms(longest)
              << " longest; decoding ms " << to_ms(decoding) / reloads
              << "; the node's processor time ms a version "
              << to_ms(processor) / reloads << std::endl;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        // A node reads at most 2 MiB from the store at once, in base64, so
        // that 100,000 keys fit only if they are short.
        for (const measured_case& chosen :
             {measured_case{0, 0}, measured_case{86, 2}, measured_case{3600, 2},
              measured_case{3600, 8}, measured_case{1, 100000, 12}})
        {
            measure(chosen);
        }
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return 1;
    }
    return 0;
}
