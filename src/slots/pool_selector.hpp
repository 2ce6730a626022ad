#pragma once

#include "units/random_source.hpp"

#include <map>
#include <optional>

namespace parsleytrack::slots
{

/// Selects among the pools of a service by the spare slots that their brokers
/// last reported.
class pool_selector
{
public:
    void set_pool_count(int count) { this->pool_count = count; }

    /// \returns The pool for a new request: of two drawn at random, the one
    /// with more spare slots.
    int choose(random_source& random);

    /// \param spare Free slots of the pool minus the requests that wait, as
    /// reported by its broker.
    void record_spare(int pool, int spare)
    {
        this->spare_by_pool[pool] = spare;
    }

    /// \param current The pool in which a request waits.
    /// \returns The pool to which the request should move; absent when it
    /// should stay.
    std::optional<int> find_better_pool(int current) const;

    /// \returns The recorded spare of a pool; 0 when none is recorded.
    int known_spare(int pool) const;

private:
    int pool_count = 1;
    std::map<int, int> spare_by_pool;
};

} // namespace parsleytrack::slots
