#pragma once

#include "units/ids.hpp"

#include <cstddef>
#include <set>
#include <string>

namespace parsleytrack
{

/// A gate that asks for items on behalf of one replica.
struct item_pull
{
    node_id gate;
    replica_id replica;
    service_name service;
    /// Models and adapters that the replica has loaded.
    std::set<std::string> models;
    /// Replicas of the service that are in use, this one included.
    std::size_t replicas_in_use = 1;
    int max_items = 1;
};

} // namespace parsleytrack
