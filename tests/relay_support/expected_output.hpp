#pragma once

#include "relay_support/replica_stand_in.hpp"

#include <string>

namespace parsleytrack::relay_support
{

/// \returns The complete event stream that a caller receives.
inline std::string expected_stream()
{
    std::string text;
    for (int number = 1; number <= replica_stand_in::stream_events; ++number)
    {
        text += "id: " + std::to_string(number) + "\ndata: t" +
                std::to_string(number) + "\n\n";
    }
    return text;
}

/// \returns The complete output of a job's item.
inline std::string expected_output(int events = replica_stand_in::stream_events)
{
    std::string text;
    for (int number = 1; number <= events; ++number)
    {
        text += (number > 1 ? "\nt" : "t") + std::to_string(number);
    }
    return text;
}

} // namespace parsleytrack::relay_support
