#include "key_value/backoff.hpp"

#include <algorithm>

namespace parsleytrack::key_value
{

backoff::backoff(duration first_step, duration longest_step)
    : first(first_step), limit(longest_step), step(first_step)
{
}

duration backoff::next(random_source& random)
{
    const duration::rep whole = this->step.count();
    std::uniform_int_distribution<duration::rep> draw(whole / 2, whole);
    this->step = std::min(this->limit, this->step * 2);
    return duration(draw(random));
}

} // namespace parsleytrack::key_value
