#pragma once

#include "units/numbers.hpp"

#include <string>

namespace parsleytrack::feeds
{

/// Request of a node to subscribe to a source.
struct feed_request
{
    std::string prefix;
    /// The store's revision up to which the node is complete; 0 when it has no
    /// records.
    store_revision position;
};

} // namespace parsleytrack::feeds
