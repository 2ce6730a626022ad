#pragma once

#include "decisions/node_info.hpp"

namespace parsleytrack
{

/// A node that callers may be sent to.
struct address_candidate
{
    node_info node;
    /// Requests that it last said it had open.
    int load = 0;
};

} // namespace parsleytrack
