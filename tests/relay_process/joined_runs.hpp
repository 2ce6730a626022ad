#pragma once

#include "relay_support/relay_fleet.hpp"

#include <set>
#include <string>
#include <tuple>

namespace parsleytrack::relay_support
{

/// \returns How many runs went on after an event that no replica of their
/// version had sent.
inline int joined_runs(const relay_fleet& fleet)
{
    std::set<std::tuple<std::string, int, std::string>> sent;
    for (const auto& engine : fleet.engines)
    {
        sent.insert(engine->sent_events.begin(), engine->sent_events.end());
    }
    int joined = 0;
    for (const auto& engine : fleet.engines)
    {
        for (const auto& resumed : engine->resumptions)
        {
            joined += sent.contains(resumed) ? 0 : 1;
        }
    }
    return joined;
}

} // namespace parsleytrack::relay_support
