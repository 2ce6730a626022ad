#pragma once

#include "units/time.hpp"

#include <cstdint>
#include <memory>

namespace parsleytrack::cli
{

/// Latencies of a load run; percentiles are accurate to within 3%.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);

    /// \param fraction Between 0 and 1, such as 0.95.
    /// \returns The latency in milliseconds that this fraction of the values
    /// does not exceed; 0 when nothing was recorded.
    double percentile_ms(double fraction) const;

    std::uint64_t count() const { return this->recorded; }
    double max_ms() const { return this->highest_ms; }

private:
    struct state;
    std::unique_ptr<state> contents;
    std::uint64_t recorded = 0;
    double highest_ms = 0;
};

} // namespace parsleytrack::cli
