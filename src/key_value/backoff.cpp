#include "key_value/backoff.hpp"

#include <algorithm>

namespace parsleytrack::key_value
{

backoff::backoff(duration initial, duration longest)
    : initial_delay(initial), max_delay(longest), current_delay(initial)
{
}

duration backoff::next_delay(random_source& random)
{
    const duration::rep delay_us = this->current_delay.count();
    std::uniform_int_distribution<duration::rep> draw(delay_us / 2, delay_us);
    this->current_delay = std::min(this->max_delay, this->current_delay * 2);
    return duration(draw(random));
}

void backoff::set_max_delay(duration limit)
{
    this->max_delay = limit;
    this->current_delay = std::min(this->current_delay, limit);
}

} // namespace parsleytrack::key_value
