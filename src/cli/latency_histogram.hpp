#pragma once

#include "units/time.hpp"

#include <cstdint>
#include <memory>

namespace parsleytrack::cli
{

/// Latencies of a load run and their percentiles, within 3%.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);

    /// \param fraction Such as 0.95.
    /// \returns The latency in milliseconds that this fraction stays below; 0
    /// without any latencies.
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
