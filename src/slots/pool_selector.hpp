#pragma once

#include "units/random_source.hpp"

#include <map>
#include <optional>

namespace parsleytrack::slots
{

/// Chooses between the pools of a service by what their brokers last said of
/// the room in them.
class pool_selector
{
public:
    /// \param count The number of pools.
    void set_pool_count(int count) { this->pool_count = count; }

    /// \returns The pool for a new order: of two drawn at random, the one with
    /// more room.
    int choose(random_source& random);

    /// A broker has said how many slots of its pool are free, less the orders
    /// that wait.
    void record_spare(int pool, int spare)
    {
        this->spare_by_pool[pool] = spare;
    }

    /// \param current The pool in which an order waits.
    /// \returns The pool to which the order is to be moved; absent when it is
    /// to stay.
    std::optional<int> find_better_pool(int current) const;

    /// \returns What is known of the room in a pool; 0 when nothing is.
    int known_spare(int pool) const;

private:
    int pool_count = 1;
    std::map<int, int> spare_by_pool;
};

} // namespace parsleytrack::slots
