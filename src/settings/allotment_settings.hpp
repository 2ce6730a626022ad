#pragma once

#include "units/time.hpp"

namespace parsleytrack::settings
{

/// How closely the allotments of workspaces are kept over all nodes. In any
/// window, a workspace's requests are at most
/// (rate x window + burst) x (1 + overage) + slack.
struct allotment_settings
{
    duration window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20.0;
};

} // namespace parsleytrack::settings
