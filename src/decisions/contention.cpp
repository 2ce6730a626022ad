#include "decisions/contention.hpp"

namespace parsleytrack
{

namespace
{

constexpr duration window = std::chrono::seconds(1);
constexpr int most_in_window = 3;
/// How long contention is remembered.
constexpr duration memory = std::chrono::seconds(10);

} // namespace

void contention::found_none(bool may_go_elsewhere, time_point now)
{
    if (now >= this->window_start + window)
    {
        this->window_start = now;
        this->in_window = 0;
    }
    this->in_window += 1;
    if (!may_go_elsewhere || this->in_window > most_in_window)
    {
        this->until = now + memory;
    }
}

} // namespace parsleytrack
