#pragma once

#include "units/time.hpp"

namespace parsleytrack
{

/// A moving average of durations that weighs the newest most.
class latency_average
{
public:
    /// \param weight_of_newest Between 0 and 1.
    explicit latency_average(double weight_of_newest)
        : newest_weight(weight_of_newest)
    {
    }

    void add(duration value)
    {
        const auto count = static_cast<double>(value.count());
        this->average =
            this->known
                ? this->average + this->newest_weight * (count - this->average)
                : count;
        this->known = true;
    }

    /// \returns The average; zero when nothing was added.
    duration value() const
    {
        return duration(static_cast<duration::rep>(this->average));
    }

private:
    double newest_weight;
    double average = 0;
    bool known = false;
};

} // namespace parsleytrack
