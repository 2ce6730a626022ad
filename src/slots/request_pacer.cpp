#include "slots/request_pacer.hpp"

#include <algorithm>

namespace parsleytrack::slots
{

namespace
{

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

request_pacer::request_pacer(request_rate rate, time_point now)
    : allowed(rate), credit_time(now), last_take(now)
{
}

void request_pacer::set_rate(request_rate changed, time_point now)
{
    this->credit = this->credit_at(now);
    this->credit_time = now;
    this->allowed = changed;
}

int request_pacer::available(time_point now) const
{
    return static_cast<int>(this->credit_at(now));
}

int request_pacer::available_until(time_point later, time_point now) const
{
    return static_cast<int>(this->credit_at(now) + this->allowed.per_second() *
                                                       to_seconds(later - now));
}

void request_pacer::take(time_point now)
{
    this->credit = this->credit_at(now) - 1.0;
    this->credit_time = now;
    this->last_take = now;
}

double request_pacer::credit_at(time_point now) const
{
    const double rate = this->allowed.per_second();
    const double most = 1.0 + rate * to_seconds(burst_time);
    const double gained = rate * to_seconds(now - this->credit_time);
    return std::min(most, this->credit + gained);
}

} // namespace parsleytrack::slots
