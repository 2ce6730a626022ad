#include "cli/latency_histogram.hpp"

#include <boost/histogram.hpp>

#include <algorithm>

namespace parsleytrack::cli
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned bucket_count = 600;
constexpr double lowest_ms = 0.01;
constexpr double upper_bound_ms = 600'000;
constexpr double microseconds_per_millisecond = 1000;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct latency_histogram::state
{
    decltype(bh::make_histogram(log_axis())) histogram =
        bh::make_histogram(log_axis(bucket_count, lowest_ms, upper_bound_ms));
};

latency_histogram::latency_histogram() : contents(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration value)
{
    const double milliseconds =
        static_cast<double>(value.count()) / microseconds_per_millisecond;
    this->contents->histogram(std::max(milliseconds, lowest_ms));
    this->recorded += 1;
    this->highest_ms = std::max(this->highest_ms, milliseconds);
}

double latency_histogram::percentile_ms(double fraction) const
{
    const double target_count = fraction * static_cast<double>(this->recorded);
    double cumulative_count = 0;
    for (const auto& bucket :
         bh::indexed(this->contents->histogram, bh::coverage::all))
    {
        cumulative_count += *bucket;
        if (cumulative_count > 0 && cumulative_count >= target_count)
        {
            return std::min(bucket.bin().upper(), this->highest_ms);
        }
    }
    return this->highest_ms;
}

} // namespace parsleytrack::cli
