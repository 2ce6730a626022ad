#pragma once

#include "units/ids.hpp"

namespace parsleytrack::sharing
{

/// What a workspace uses of contended capacity.
struct workspace_use
{
    workspace_name workspace;
    /// Slots that it holds now.
    int held = 0;
    /// Slots that it has held on average over the recent past.
    double recent = 0.0;
};

} // namespace parsleytrack::sharing
