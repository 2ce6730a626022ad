#include "slots/pool_choice.hpp"

#include <random>

namespace parsleytrack::slots
{

int pool_choice::choose(random_source& random)
{
    if (this->pools == 1)
    {
        return 0;
    }
    std::uniform_int_distribution<int> draw(0, this->pools - 1);
    const int first = draw(random);
    const int second = draw(random);
    const int chosen =
        this->spare_of(second) > this->spare_of(first) ? second : first;
    --this->known[chosen];
    return chosen;
}

std::optional<int> pool_choice::better_than(int current) const
{
    int best = 0;
    for (int pool = 1; pool < this->pools; ++pool)
    {
        best = this->spare_of(pool) > this->spare_of(best) ? pool : best;
    }
    if (current >= this->pools)
    {
        return best;
    }
    const bool is_better =
        this->spare_of(best) > 0 && this->spare_of(current) <= 0;
    return is_better ? std::optional<int>(best) : std::nullopt;
}

int pool_choice::spare_of(int pool) const
{
    const auto found = this->known.find(pool);
    return found == this->known.end() ? 0 : found->second;
}

} // namespace parsleytrack::slots
