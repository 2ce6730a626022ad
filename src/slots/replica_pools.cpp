#include "slots/replica_pools.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace parsleytrack::slots
{

int pool_count(std::size_t replicas)
{
    const std::size_t pools =
        (replicas + max_replicas_per_pool - 1) / max_replicas_per_pool;
    return static_cast<int>(std::max<std::size_t>(1, pools));
}

int pool_of(const replica_id& replica, int pools)
{
    int best = 0;
    std::uint64_t best_score = 0;
    for (int pool = 0; pool < pools; ++pool)
    {
        const std::uint64_t score =
            rendezvous_score(std::to_string(pool), replica.str());
        if (pool == 0 || score > best_score)
        {
            best = pool;
            best_score = score;
        }
    }
    return best;
}

int pool_after_change(const replica_id& held, int current, int pools)
{
    return held.empty() ? current : pool_of(held, pools);
}

} // namespace parsleytrack::slots
