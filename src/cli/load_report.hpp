#pragma once

#include "cli/latency_histogram.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// What one second of a load run was like.
struct second_stats
{
    int sent = 0;
    int refused = 0;
    std::uint64_t batch_items = 0;
    latency_histogram first_token;
};

/// What was measured in a load run.
struct load_report
{
    int sent = 0;
    /// Whole answers.
    int completed = 0;
    /// Whole answers within their deadline.
    int on_time = 0;
    /// Answers that broke off.
    int interrupted = 0;
    /// Refusals and failures by reason.
    std::map<std::string, int> refused;
    std::uint64_t online_tokens = 0;
    latency_histogram first_token;
    latency_histogram between_tokens;
    latency_histogram response_time;

    int jobs_accepted = 0;
    int jobs_complete = 0;
    int jobs_late = 0;
    std::map<std::string, int> jobs_refused;
    std::uint64_t batch_items_finished = 0;
    std::uint64_t batch_tokens = 0;

    /// Seconds of sending, and until the last answer.
    double sending_s = 0;
    double elapsed_s = 0;
    std::vector<second_stats> seconds;

    /// \returns The entry of the second in which something happened.
    second_stats& second_at(duration since_start);

    /// \returns All figures as JSON, for programs.
    std::string to_json() const;

    /// \returns The figures and a plot of the first-token latency over time,
    /// for people.
    std::string to_text() const;

    /// \returns The plot as SVG.
    std::string to_svg() const;
};

} // namespace parsleytrack::cli
