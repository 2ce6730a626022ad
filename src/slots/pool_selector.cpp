#include "slots/pool_selector.hpp"

#include <random>

namespace parsleytrack::slots
{

int pool_selector::choose(random_source& random)
{
    if (this->pool_count == 1)
    {
        return 0;
    }
    std::uniform_int_distribution<int> draw(0, this->pool_count - 1);
    const int first = draw(random);
    const int second = draw(random);
    const int chosen =
        this->known_spare(second) > this->known_spare(first) ? second : first;
    --this->spare_by_pool[chosen];
    return chosen;
}

std::optional<int> pool_selector::find_better_pool(int current) const
{
    int best = 0;
    for (int pool = 1; pool < this->pool_count; ++pool)
    {
        best = this->known_spare(pool) > this->known_spare(best) ? pool : best;
    }
    if (current >= this->pool_count)
    {
        return best;
    }
    const bool is_better =
        this->known_spare(best) > 0 && this->known_spare(current) <= 0;
    return is_better ? std::optional<int>(best) : std::nullopt;
}

int pool_selector::known_spare(int pool) const
{
    const auto found = this->spare_by_pool.find(pool);
    return found == this->spare_by_pool.end() ? 0 : found->second;
}

} // namespace parsleytrack::slots
