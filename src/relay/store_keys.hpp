#pragma once

#include <string>

namespace parsleytrack::relay
{

/// Keys in the platform's store of the records that operators and replicas
/// write, and that operators read. Set by the adapter.
struct store_keys
{
    /// The newest configuration.
    std::string configuration;
    /// Prefix of the replicas' entries, one for each replica.
    std::string replica_prefix;
    /// Prefix of retirement requests, one for each storage node to be emptied.
    std::string retirement_prefix;
    /// Prefix of the records that report the progress of a retirement.
    std::string retirement_state_prefix;
};

} // namespace parsleytrack::relay
