#pragma once

#include "units/time.hpp"
#include "wire/message_type.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::feeds
{

/// What a record_feed follows, and how.
struct feed_options
{
    /// Type of the calls between the nodes that follow these records.
    wire::message_type call = wire::message_type::replica_feed;
    /// Prefix of the keys; the same on all nodes.
    std::string prefix;
    /// Delay before the next read of the store, during which changes are
    /// collected.
    duration pause_after_changes = duration::zero();
    /// Up to this number of nodes, all read from the store directly.
    std::size_t max_direct_followers = 0;
    /// Number of nodes in each availability zone that read from the store in a
    /// larger group. With sources_per_node of them no record is sent between
    /// zones, but each reads from the store.
    std::size_t sources_per_zone = 1;
};

} // namespace parsleytrack::feeds
