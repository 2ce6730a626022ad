#include "sharing/decaying_sum.hpp"

#include <cmath>

namespace parsleytrack::sharing
{

void decaying_sum::add(double added, time_point now)
{
    this->amount = this->at(now) + added;
    this->updated = now;
}

double decaying_sum::at(time_point now) const
{
    if (now == this->updated || this->amount == 0.0)
    {
        return this->amount;
    }
    const double age = static_cast<double>((now - this->updated).count()) /
                       static_cast<double>(this->memory.count());
    return this->amount * std::exp(-age);
}

} // namespace parsleytrack::sharing
