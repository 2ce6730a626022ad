#include "cli/load_report.hpp"

#include "cli/table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace parsleytrack::cli
{

namespace
{

using nlohmann::json;

constexpr std::size_t plot_width_chars = 40;
constexpr int svg_height_px = 200;
constexpr int svg_second_width_px = 8;

std::string format_decimal(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", value);
    return text;
}

double per_second(double amount, double seconds)
{
    return seconds > 0 ? amount / seconds : 0;
}

json latency_json(const latency_histogram& values)
{
    return {{"count", values.count()},
            {"p50_ms", values.percentile_ms(0.5)},
            {"p95_ms", values.percentile_ms(0.95)},
            {"p99_ms", values.percentile_ms(0.99)},
            {"max_ms", values.max_ms()}};
}

void add_latency_row(table& rows, const char* name,
                     const latency_histogram& values)
{
    rows.add({name, std::to_string(values.count()),
              format_decimal(values.percentile_ms(0.5)),
              format_decimal(values.percentile_ms(0.95)),
              format_decimal(values.percentile_ms(0.99)),
              format_decimal(values.max_ms())});
}

double highest_p95_ms(const std::vector<second_stats>& seconds)
{
    double highest = 1;
    for (const second_stats& entry : seconds)
    {
        highest = std::max(highest, entry.first_token.percentile_ms(0.95));
    }
    return highest;
}

void print_reasons(std::ostream& out, const char* name,
                   const std::map<std::string, int>& reasons)
{
    for (const auto& [reason, count] : reasons)
    {
        out << name << ", " << reason << ": " << count << '\n';
    }
}

} // namespace

second_stats& load_report::second_at(duration since_start)
{
    const auto index = static_cast<std::size_t>(std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(since_start).count(),
        0));
    while (this->seconds.size() <= index)
    {
        this->seconds.emplace_back();
    }
    return this->seconds[index];
}

std::string load_report::to_json() const
{
    json by_second = json::array();
    for (const second_stats& entry : this->seconds)
    {
        by_second.push_back(
            {{"sent", entry.sent},
             {"refused", entry.refused},
             {"batch_items", entry.batch_items},
             {"first_token_p50_ms", entry.first_token.percentile_ms(0.5)},
             {"first_token_p95_ms", entry.first_token.percentile_ms(0.95)}});
    }
    const json online{
        {"sent", this->sent},
        {"answered", this->completed},
        {"on_time", this->on_time},
        {"cut", this->interrupted},
        {"refused", this->refused},
        {"goodput_per_s", per_second(this->on_time, this->sending_s)},
        {"tokens", this->online_tokens},
        {"first_token", latency_json(this->first_token)},
        {"between_tokens", latency_json(this->between_tokens)},
        {"whole_answer", latency_json(this->response_time)}};
    const json batch{
        {"jobs_accepted", this->jobs_accepted},
        {"jobs_complete", this->jobs_complete},
        {"jobs_late", this->jobs_late},
        {"jobs_refused", this->jobs_refused},
        {"items_finished", this->batch_items_finished},
        {"tokens", this->batch_tokens},
        {"tokens_per_s",
         per_second(static_cast<double>(this->batch_tokens), this->elapsed_s)}};
    return json{{"online", online},
                {"batch", batch},
                {"sending_s", this->sending_s},
                {"elapsed_s", this->elapsed_s},
                {"seconds", by_second}}
        .dump(2);
}

std::string load_report::to_text() const
{
    std::ostringstream out;
    out << "sent " << this->sent << ", answered " << this->completed
        << ", on time " << this->on_time << ", cut " << this->interrupted
        << ", goodput "
        << format_decimal(per_second(this->on_time, this->sending_s))
        << " answers/s\n";
    print_reasons(out, "refused", this->refused);
    table rows({"LATENCY IN MS", "COUNT", "P50", "P95", "P99", "MAX"});
    add_latency_row(rows, "first token", this->first_token);
    add_latency_row(rows, "between tokens", this->between_tokens);
    add_latency_row(rows, "whole answer", this->response_time);
    rows.print(out);
    if (this->jobs_accepted > 0 || !this->jobs_refused.empty())
    {
        out << "batch: jobs accepted " << this->jobs_accepted << ", complete "
            << this->jobs_complete << ", late " << this->jobs_late << ", items "
            << this->batch_items_finished << ", "
            << format_decimal(per_second(
                   static_cast<double>(this->batch_tokens), this->elapsed_s))
            << " tokens/s\n";
        print_reasons(out, "job refused", this->jobs_refused);
    }
    out << "first token p95 by second, in ms:\n";
    const double scale = highest_p95_ms(this->seconds);
    for (std::size_t index = 0; index < this->seconds.size(); ++index)
    {
        const double value =
            this->seconds[index].first_token.percentile_ms(0.95);
        const auto width = static_cast<std::size_t>(
            std::lround(value / scale * static_cast<double>(plot_width_chars)));
        out << index << "\t" << format_decimal(value) << "\t"
            << std::string(width, '#') << '\n';
    }
    return out.str();
}

std::string load_report::to_svg() const
{
    const double scale = highest_p95_ms(this->seconds);
    const std::size_t width =
        std::max<std::size_t>(this->seconds.size(), 1) * svg_second_width_px;
    std::ostringstream out;
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << width
        << R"(" height=")" << svg_height_px
        << "\">\n<title>first token by second,"
        << " p50 and p95; full height is " << format_decimal(scale)
        << " ms</title>\n";
    const auto draw_line = [&](double fraction, const char* colour)
    {
        out << R"(<polyline fill="none" stroke=")" << colour << R"(" points=")";
        for (std::size_t index = 0; index < this->seconds.size(); ++index)
        {
            const double value =
                this->seconds[index].first_token.percentile_ms(fraction);
            out << index * svg_second_width_px << ','
                << format_decimal(svg_height_px * (1 - value / scale)) << ' ';
        }
        out << "\"/>\n";
    };
    draw_line(0.5, "steelblue");
    draw_line(0.95, "firebrick");
    out << "</svg>\n";
    return out.str();
}

} // namespace parsleytrack::cli
