#pragma once

#include "units/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleytrack::metrics
{

/// Label names and values, in output order.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// All counters, gauges and latency histograms of a process.
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Adds to a counter.
    ///
    /// \param name Such as "parsleytrack_refusals_total".
    /// \param labels Such as {{"reason", "overloaded"}}.
    /// \param amount The increment.
    void count(std::string_view name, const label_list& labels,
               std::uint64_t amount = 1);

    /// Sets a gauge.
    void set_gauge(std::string_view name, const label_list& labels,
                   double value);

    /// Removes all values of a gauge, so that those that are not set again are
    /// no longer reported.
    void clear_gauge(std::string_view name);

    /// Records a latency in a histogram.
    void observe(std::string_view name, const label_list& labels,
                 duration value);

    /// \returns The value of a counter; 0 when nothing was added to it.
    std::uint64_t counter_value(std::string_view name,
                                const label_list& labels) const;

    /// \returns All metrics in Prometheus' text format.
    std::string prometheus_text() const;

private:
    struct state;
    std::unique_ptr<state> contents;
};

} // namespace parsleytrack::metrics
