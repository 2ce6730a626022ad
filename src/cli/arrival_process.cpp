#include "cli/arrival_process.hpp"

#include <algorithm>

namespace parsleytrack::cli
{

namespace
{

constexpr double microseconds_per_second = 1e6;

} // namespace

arrival_process::arrival_process(const load_options& load)
    : rate(load.rate), burst_factor(load.burst_factor),
      burst_interval(load.burst_interval), burst_length(load.burst_length),
      random(load.seed)
{
}

duration arrival_process::next()
{
    // Thinning: candidates are drawn at the highest rate, and each is accepted
    // with probability (rate at its time) / (highest rate).
    const double highest = this->rate * std::max(1.0, this->burst_factor);
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> draw(0, highest);
    do
    {
        this->last += duration(static_cast<std::int64_t>(
            gap(this->random) * microseconds_per_second));
    } while (draw(this->random) >= this->rate_at(this->last));
    return this->last;
}

double arrival_process::rate_at(duration since_start) const
{
    if (this->burst_interval == duration::zero())
    {
        return this->rate;
    }
    // The first burst starts after one full interval.
    const bool in_burst =
        since_start >= this->burst_interval &&
        since_start % this->burst_interval < this->burst_length;
    return in_burst ? this->rate * this->burst_factor : this->rate;
}

} // namespace parsleytrack::cli
