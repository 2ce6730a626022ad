#pragma once

#include "units/ids.hpp"

#include <cstdint>
#include <string>

namespace parsleytrack
{

/// The version of the newest value that the sender holds for a topic and node.
struct board_version
{
    std::string topic;
    /// The node that published the value.
    node_id node;
    std::uint64_t version = 0;
};

} // namespace parsleytrack
