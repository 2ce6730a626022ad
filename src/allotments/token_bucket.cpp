#include "allotments/token_bucket.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace parsleytrack::allotments
{

namespace
{

/// Absorbs the rounding of many small refills.
constexpr double rounding = 1e-6;
/// Bounds the conversion to int.
constexpr double max_available = 1e9;
constexpr double max_wait_s = 3600.0;

} // namespace

void token_bucket::fill(double rate, double capacity, time_point now)
{
    if (now > this->filled_until)
    {
        const std::chrono::duration<double> span = now - this->filled_until;
        this->tokens += rate * span.count();
        this->filled_until = now;
    }
    this->tokens = std::min(this->tokens, capacity);
}

int token_bucket::available() const
{
    return static_cast<int>(
        std::clamp(std::floor(this->tokens + rounding), 0.0, max_available));
}

void token_bucket::take(int count)
{
    check_invariant(count <= this->available(),
                    "no more tokens are taken than the bucket has");
    this->tokens -= count;
}

void token_bucket::put_back(int count, double capacity)
{
    this->tokens = std::min(this->tokens + count, capacity);
}

void token_bucket::limit_debt(double most)
{
    this->tokens = std::max(this->tokens, -most);
}

duration token_bucket::time_until(double level, double rate) const
{
    const double missing = std::max(0.0, level - this->tokens);
    const double wait_s = std::min(missing / rate, max_wait_s);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait_s));
}

} // namespace parsleytrack::allotments
