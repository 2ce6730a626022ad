#include "key_value/outage_detector.hpp"

#include <algorithm>

namespace parsleytrack::key_value
{

namespace
{

// Failures in a row; a single lost answer is no outage.
constexpr int failures_of_an_outage = 4;
constexpr duration first_pause = std::chrono::milliseconds(500);
constexpr duration longest_pause = std::chrono::seconds(5);

} // namespace

outage_detector::outage_detector() : pauses(first_pause, longest_pause) {}

bool outage_detector::call_answered()
{
    const bool ended = this->down;
    this->failures = 0;
    this->down = false;
    this->probing = false;
    this->pauses.reset();
    return ended;
}

bool outage_detector::call_failed(time_point now, random_source& random)
{
    if (this->down)
    {
        if (this->probing)
        {
            this->probing = false;
            this->next_probe = now + this->pauses.next(random);
        }
        return false;
    }
    ++this->failures;
    if (this->failures < failures_of_an_outage)
    {
        return false;
    }
    this->down = true;
    this->next_probe = now + this->pauses.next(random);
    return true;
}

bool outage_detector::take_probe(time_point now)
{
    if (!this->down || this->probing || now < this->next_probe)
    {
        return false;
    }
    this->probing = true;
    return true;
}

duration outage_detector::until_probe(time_point now) const
{
    return std::max<duration>(std::chrono::milliseconds(1),
                              this->next_probe - now);
}

} // namespace parsleytrack::key_value
