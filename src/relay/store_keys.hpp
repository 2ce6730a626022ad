#pragma once

#include <string>

namespace parsleytrack::relay
{

/// Where the platform's store keeps what operators and replicas write, and
/// what operators read. The adapter sets them.
struct store_keys
{
    /// The newest configuration.
    std::string configuration;
    /// One key for each replica.
    std::string replica_prefix;
    /// One key for each storage node that is to be emptied.
    std::string retirement_prefix;
    /// Where the progress of a retirement is written.
    std::string retirement_state_prefix;
};

} // namespace parsleytrack::relay
