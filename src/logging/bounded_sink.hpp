#pragma once

#include "units/time.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>

namespace parsleytrack::detail
{

/// Writes log lines to a file descriptor without ever blocking on its reader.
/// Lines that exceed the rate limit or do not fit into the pipe are dropped and
/// counted; the count is logged before the next line that passes the limit. A
/// line longer than PIPE_BUF, which a pipe may not take at once, is cut off.
class bounded_sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    using clock = std::function<time_point()>;

    /// Refill rate of the token bucket. A node that serves 200 requests per
    /// second writes two lines for each, and some about state changes.
    static constexpr double lines_per_s = 500.0;
    /// Size of the token bucket: lines accepted at once after an idle period.
    static constexpr double burst_lines = 1000.0;

    /// \param output File descriptor for the lines; not closed.
    /// \param now_clock Returns the current time, for the rate limit.
    bounded_sink(int output, clock now_clock);

    /// \returns Number of lines dropped so far.
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
