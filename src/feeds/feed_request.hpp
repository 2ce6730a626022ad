#pragma once

#include "units/numbers.hpp"

#include <string>

namespace parsleytrack::feeds
{

/// What a node asks a source for.
struct feed_request
{
    std::string prefix;
    /// The store's revision up to which the node is complete; 0 when it knows
    /// nothing.
    store_revision position;
};

} // namespace parsleytrack::feeds
