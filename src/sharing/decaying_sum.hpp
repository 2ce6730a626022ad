#pragma once

#include "units/time.hpp"

namespace parsleytrack::sharing
{

/// A sum whose terms lose their weight exponentially with age.
class decaying_sum
{
public:
    /// \param lifetime Time in which a term loses two thirds of its weight.
    explicit decaying_sum(duration lifetime) : memory(lifetime) {}

    void add(double amount, time_point now);

    double at(time_point now) const;

private:
    duration memory;
    double amount = 0.0;
    time_point updated;
};

} // namespace parsleytrack::sharing
