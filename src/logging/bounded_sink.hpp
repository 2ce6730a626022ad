#pragma once

#include "units/time.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>

namespace parsleytrack::detail
{

/// Writes log lines to a descriptor without ever waiting for its reader. Lines
/// beyond a rate, and lines that the reader has no room for, are dropped and
/// counted; the count is written with the next line that gets through.
class bounded_sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    using clock = std::function<time_point()>;

    /// Most lines a second. A node that answers 200 requests a second writes
    /// two lines for each, and some for what it learns.
    static constexpr double lines_per_s = 500.0;
    /// Lines that may come at once after a quiet time.
    static constexpr double burst_lines = 1000.0;

    /// \param output Where lines are written; not closed.
    /// \param now_clock Measures the rate.
    bounded_sink(int output, clock now_clock);

    /// \returns Lines dropped so far.
    std::uint64_t dropped() const { return this->total_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

private:
    bool try_consume_token();
    bool write_line(const char* data, std::size_t size);
    void report_dropped();

    int descriptor;
    clock now;
    double tokens = burst_lines;
    time_point refilled_at;
    std::uint64_t total_dropped = 0;
    std::uint64_t reported_dropped = 0;
};

} // namespace parsleytrack::detail
