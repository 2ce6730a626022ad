#include "metrics/latency_histogram.hpp"

#include <boost/histogram.hpp>

namespace parsleytrack::metrics
{

namespace
{

namespace bh = boost::histogram;

/// Upper bounds in seconds.
const std::vector<double> bucket_bounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.045, 0.059, 0.08, 0.1, 0.15, 0.2,
    0.3,   0.45,  0.6,   0.8,  1.0,  1.5,  2.0,   3.0,   5.0,  10., 30.,  60.};

std::vector<double> axis_edges()
{
    std::vector<double> edges{0.0};
    edges.insert(edges.end(), bucket_bounds.begin(), bucket_bounds.end());
    return edges;
}

auto make_counts()
{
    return bh::make_histogram(bh::axis::variable<>(axis_edges()));
}

} // namespace

struct latency_histogram::state
{
    decltype(make_counts()) counts = make_counts();
};

latency_histogram::latency_histogram() : contents(std::make_unique<state>()) {}

latency_histogram::~latency_histogram() = default;

latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;

latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    this->contents->counts(seconds);
    this->recorded += 1;
    this->sum += seconds;
}

std::vector<std::pair<double, std::uint64_t>>
latency_histogram::cumulative_buckets() const
{
    std::vector<std::pair<double, std::uint64_t>> buckets;
    double total = 0.0;
    for (std::size_t index = 0; index < bucket_bounds.size(); ++index)
    {
        total += this->contents->counts.at(static_cast<int>(index));
        buckets.emplace_back(bucket_bounds[index],
                             static_cast<std::uint64_t>(total));
    }
    return buckets;
}

} // namespace parsleytrack::metrics
