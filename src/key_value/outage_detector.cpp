#include "key_value/outage_detector.hpp"

#include <algorithm>

namespace parsleytrack::key_value
{

namespace
{

// Consecutive failures; a single lost response is not an outage.
constexpr int outage_failure_threshold = 4;
constexpr duration initial_probe_delay = std::chrono::milliseconds(500);
constexpr duration max_probe_delay = std::chrono::seconds(5);

} // namespace

outage_detector::outage_detector()
    : probe_backoff(initial_probe_delay, max_probe_delay)
{
}

bool outage_detector::record_response()
{
    const bool ended = this->down;
    this->failures = 0;
    this->down = false;
    this->probing = false;
    this->probe_backoff.reset();
    return ended;
}

bool outage_detector::record_failure(time_point now, random_source& random)
{
    if (this->down)
    {
        if (this->probing)
        {
            this->probing = false;
            this->next_probe = now + this->probe_backoff.next_delay(random);
        }
        return false;
    }
    ++this->failures;
    if (this->failures < outage_failure_threshold)
    {
        return false;
    }
    this->down = true;
    this->next_probe = now + this->probe_backoff.next_delay(random);
    return true;
}

bool outage_detector::try_start_probe(time_point now)
{
    if (!this->down || this->probing || now < this->next_probe)
    {
        return false;
    }
    this->probing = true;
    return true;
}

duration outage_detector::time_until_probe(time_point now) const
{
    return std::max<duration>(std::chrono::milliseconds(1),
                              this->next_probe - now);
}

} // namespace parsleytrack::key_value
