#pragma once

#include "decisions/membership_options.hpp"

namespace parsleytrack::peering
{

/// Times for groups whose nodes are killed often: a dead node is to be left
/// out of address answers within about two seconds, and a node that is back is
/// to be known everywhere before callers come.
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
