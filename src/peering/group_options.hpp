#pragma once

#include "decisions/membership_options.hpp"

namespace parsleytrack::peering
{

/// Intervals for groups whose nodes are killed often: address responses must
/// exclude a dead node within about two seconds, and all nodes must know a
/// restarted one before callers arrive.
inline membership_options group_options()
{
    membership_options options;
    options.probe_interval = std::chrono::milliseconds(300);
    options.indirect_probe_delay = std::chrono::milliseconds(200);
    options.suspect_delay = std::chrono::milliseconds(700);
    options.suspicion_timeout = std::chrono::milliseconds(1500);
    options.confirm_interval = std::chrono::milliseconds(400);
    options.join_interval = std::chrono::milliseconds(300);
    options.exchange_interval = std::chrono::seconds(5);
    return options;
}

} // namespace parsleytrack::peering
