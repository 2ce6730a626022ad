#pragma once

#include "cli/latency_histogram.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// Measurements of one second of a load run.
struct second_stats
{
    int sent = 0;
    int refused = 0;
    std::uint64_t batch_items = 0;
    latency_histogram first_token;
};

/// Measurements of a load run.
struct load_report
{
    int sent = 0;
    /// Complete responses.
    int completed = 0;
    /// Complete responses within their deadline.
    int on_time = 0;
    /// Responses that ended before they were complete.
    int interrupted = 0;
    /// Number of refusals and failures for each reason.
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

    /// Seconds during which requests were sent, and until the last one ended.
    double sending_s = 0;
    double elapsed_s = 0;
    std::vector<second_stats> seconds;

    /// \returns The entry of the given second; added if it does not exist.
    second_stats& second_at(duration since_start);

    /// \returns All measurements as JSON, for scripts.
    std::string to_json() const;

    /// \returns The measurements and a plot of the first-token latency over
    /// time as text, for people.
    std::string to_text() const;

    /// \returns A plot of the first-token latency over time as SVG.
    std::string to_svg() const;
};

} // namespace parsleytrack::cli
