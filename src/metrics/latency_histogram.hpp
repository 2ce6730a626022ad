#pragma once

#include "units/time.hpp"

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace parsleytrack::metrics
{

/// Histogram of latencies; the bucket bounds include the users' latency
/// targets.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);

    /// \returns The number of recorded latencies.
    std::uint64_t count() const { return this->recorded; }

    /// \returns Their sum in seconds.
    double sum_seconds() const { return this->sum; }

    /// \returns For each bucket its upper bound in seconds and the number of
    /// latencies below it. The last bucket, which has no bound, is omitted.
    std::vector<std::pair<double, std::uint64_t>> cumulative_buckets() const;

private:
    struct state;
    std::unique_ptr<state> contents;
    std::uint64_t recorded = 0;
    double sum = 0.0;
};

} // namespace parsleytrack::metrics
