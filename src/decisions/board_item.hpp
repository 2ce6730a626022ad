#pragma once

#include "units/ids.hpp"

#include <cstdint>
#include <string>

namespace parsleytrack
{

/// A gossip board value as it is sent between nodes.
struct board_item
{
    std::string topic;
    /// The node that published it.
    node_id node;
    std::uint64_t version = 0;
    std::string value;

    bool operator==(const board_item&) const = default;
};

} // namespace parsleytrack
