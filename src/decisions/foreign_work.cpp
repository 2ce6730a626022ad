#include "decisions/foreign_work.hpp"

#include <algorithm>

namespace parsleytrack
{

foreign_work::foreign_work(time_point began, duration hold, duration fresh)
    : taken_over_at(began), wait(hold), window(fresh)
{
}

void foreign_work::report(int reported, int own, time_point now)
{
    const int others = std::max(0, reported - own);
    const bool may_raise =
        !this->reported_once || now < this->taken_over_at + this->window;
    this->running = may_raise ? others : std::min(this->running, others);
    this->reported_once = true;
}

bool foreign_work::unknown(time_point now) const
{
    return !this->reported_once && now < this->known_at();
}

} // namespace parsleytrack
