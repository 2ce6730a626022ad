#pragma once

#include "units/time.hpp"

#include <cstddef>

namespace parsleytrack
{

/// How replicas are weighed against each other.
struct picker_options
{
    /// Replicas drawn at random for each request.
    int random_choices = 2;
    /// Replicas that rendezvous hashing names for the prompt's start.
    int home_choices = 2;
    /// Time that a cached block saves.
    duration block_cost = std::chrono::milliseconds(2);
    /// Time that one running request adds, as a part of the replica's slots.
    duration crowd_cost = std::chrono::milliseconds(40);
    /// Time that each request costs for which no slot is left.
    duration queue_cost = std::chrono::milliseconds(100);
    /// Blocks that a replica's cache is believed to hold.
    std::size_t cache_blocks = 4096;
    /// How many times the others' first output a slow replica takes.
    double slow_factor = 3.0;
    /// Below this latency no replica counts as slow.
    duration slow_floor = std::chrono::milliseconds(100);
    /// How long a replica is avoided after a failure, and how often a slow one
    /// is tried.
    duration avoid_time = std::chrono::seconds(1);
};

} // namespace parsleytrack
