#include "sharing/retry_delay.hpp"

namespace parsleytrack::sharing
{

duration spread_retry(duration delay, std::int64_t number)
{
    // The fractional parts of multiples of the golden ratio fill an interval
    // more evenly than random numbers do.
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15U;
    constexpr int fraction_bits = 53;
    const std::uint64_t mixed =
        static_cast<std::uint64_t>(number) * golden_ratio;
    const double fraction =
        static_cast<double>(mixed >> (64 - fraction_bits)) /
        static_cast<double>(std::uint64_t{1} << fraction_bits);
    const double added = static_cast<double>(delay.count()) * fraction / 2.0;
    return delay + duration(static_cast<std::int64_t>(added));
}

} // namespace parsleytrack::sharing
