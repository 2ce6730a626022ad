#include "logging/bounded_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <string>
#include <utility>

namespace parsleytrack::detail
{

bounded_sink::bounded_sink(int output, clock now_clock)
    : descriptor(output), now(std::move(now_clock)), refilled_at(this->now())
{
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (!this->try_consume_token())
    {
        ++this->total_dropped;
        return;
    }
    this->report_dropped();
    spdlog::memory_buf_t line;
    this->formatter_->format(message, line);
    if (line.size() > PIPE_BUF)
    {
        line.resize(PIPE_BUF);
        line[PIPE_BUF - 1] = '\n';
    }
    if (!this->write_line(line.data(), line.size()))
    {
        ++this->total_dropped;
    }
}

bool bounded_sink::try_consume_token()
{
    const time_point current = this->now();
    const double seconds =
        std::chrono::duration<double>(current - this->refilled_at).count();
    this->refilled_at = current;
    this->tokens = std::min(burst_lines, this->tokens + seconds * lines_per_s);
    if (this->tokens < 1.0)
    {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

bool bounded_sink::write_line(const char* data, std::size_t size)
{
    // No line is longer than PIPE_BUF, so a writable pipe accepts a whole line.
    pollfd poll_entry{this->descriptor, POLLOUT, 0};
    if (::poll(&poll_entry, 1, 0) != 1 || (poll_entry.revents & POLLOUT) == 0)
    {
        return false;
    }
    return ::write(this->descriptor, data, size) == static_cast<ssize_t>(size);
}

void bounded_sink::report_dropped()
{
    if (this->total_dropped == this->reported_dropped)
    {
        return;
    }
    const std::string line =
        "level=warning event=log_lines_dropped count=" +
        std::to_string(this->total_dropped - this->reported_dropped) +
        " total=" + std::to_string(this->total_dropped) + "\n";
    if (this->write_line(line.data(), line.size()))
    {
        this->reported_dropped = this->total_dropped;
    }
}

} // namespace parsleytrack::detail
