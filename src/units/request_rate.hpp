#pragma once

#include <compare>

namespace parsleytrack
{

/// A number of requests per second.
class request_rate
{
public:
    constexpr request_rate() = default;

    constexpr explicit request_rate(double requests_per_second)
        : value(requests_per_second)
    {
    }

    constexpr double per_second() const { return this->value; }

    constexpr auto operator<=>(const request_rate&) const = default;

private:
    double value = 0.0;
};

} // namespace parsleytrack
