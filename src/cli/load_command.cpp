#include "cli/load_command.hpp"

#include "cli/exit_code.hpp"
#include "cli/flags.hpp"
#include "cli/load_runner.hpp"
#include "cli/node_list.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(model, "", "load: model or adapter to request");
DEFINE_uint64(seed, 1, "load: seed of arrivals and prompts");
DEFINE_double(seconds, 30,
              "load: seconds during which online requests are sent");
DEFINE_double(rate, 10, "load: online requests per second outside of bursts");
DEFINE_double(burst_factor, 5, "load: rate in a burst, in multiples of --rate");
DEFINE_double(burst_every_s, 0,
              "load: seconds between the starts of bursts; 0 for no bursts");
DEFINE_double(burst_s, 2, "load: length of a burst in seconds");
DEFINE_int32(deadline_ms, 10000,
             "load: deadline of online requests in milliseconds");
DEFINE_int32(tokens, 32, "load: token limit of an online request");
DEFINE_int32(callers, 16,
             "load: simulated callers, each with its own address list");
DEFINE_int32(families, 20,
             "load: prompt families; prompts of a family share a prefix");
DEFINE_int32(prefix_bytes, 1024, "load: length of a shared prefix in bytes");
DEFINE_int32(question_bytes, 128,
             "load: length in bytes of the question after the prefix");
DEFINE_int32(workspaces, 10,
             "load: workspaces; workspace k sends in proportion to 1/k");
DEFINE_int32(batch_jobs, 0, "load: batch jobs to submit at the start");
DEFINE_int32(batch_items, 100, "load: items of each batch job");
DEFINE_int32(batch_tokens, 32, "load: token limit of each batch item");
DEFINE_string(svg, "", "load: SVG file for a plot of latency over time");

namespace parsleytrack::cli
{

namespace
{

constexpr int default_batch_deadline_s = 300;

duration to_duration(double seconds)
{
    constexpr double microseconds_per_second = 1e6;
    return duration(
        static_cast<std::int64_t>(seconds * microseconds_per_second));
}

/// \returns The first problem found in the flags; empty when they are valid.
std::string check_flags()
{
    if (FLAGS_service.empty() || FLAGS_model.empty())
    {
        return "--service and --model are needed";
    }
    if (FLAGS_seconds <= 0 || FLAGS_rate < 0 || FLAGS_burst_factor < 1)
    {
        return "--seconds must be above 0, --rate not below 0 and "
               "--burst_factor not below 1";
    }
    if (FLAGS_families < 1 || FLAGS_workspaces < 1 || FLAGS_tokens < 1 ||
        FLAGS_callers < 1 || FLAGS_deadline_ms < 1 || FLAGS_prefix_bytes < 0 ||
        FLAGS_question_bytes < 0)
    {
        return "--callers, --families, --workspaces, --tokens and "
               "--deadline_ms must be "
               "above 0, lengths not below 0";
    }
    return "";
}

load_options read_options(const std::vector<endpoint>& nodes)
{
    load_options options;
    options.nodes = nodes;
    options.service = service_name(FLAGS_service);
    options.model = model_name(FLAGS_model);
    options.seed = FLAGS_seed;
    options.sending_time = to_duration(FLAGS_seconds);
    options.rate = FLAGS_rate;
    options.burst_factor = FLAGS_burst_factor;
    options.burst_interval = to_duration(FLAGS_burst_every_s);
    options.burst_length = to_duration(FLAGS_burst_s);
    options.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    options.callers = FLAGS_callers;
    options.tokens = FLAGS_tokens;
    options.families = FLAGS_families;
    options.prefix_bytes = static_cast<std::size_t>(FLAGS_prefix_bytes);
    options.question_bytes = static_cast<std::size_t>(FLAGS_question_bytes);
    options.workspaces = FLAGS_workspaces;
    options.batch_jobs = FLAGS_batch_jobs;
    options.batch_items = FLAGS_batch_items;
    options.batch_tokens = FLAGS_batch_tokens;
    options.batch_deadline = std::chrono::seconds(
        FLAGS_deadline_s > 0 ? FLAGS_deadline_s : default_batch_deadline_s);
    return options;
}

} // namespace

int run_load(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto nodes = parse_nodes(FLAGS_nodes);
    const std::string problem =
        nodes ? check_flags() : "--nodes must be IP:PORT,IP:PORT";
    if (!problem.empty())
    {
        std::cerr << problem << '\n';
        return static_cast<int>(exit_code::usage);
    }
    load_runner runner(read_options(*nodes));
    if (!runner.run())
    {
        std::cerr << "no node returned an address for " << FLAGS_service
                  << '\n';
        return static_cast<int>(exit_code::unreachable);
    }
    const load_report& report = runner.report();
    std::cout << (FLAGS_json ? report.to_json() + "\n" : report.to_text());
    if (!FLAGS_svg.empty() && !(std::ofstream(FLAGS_svg) << report.to_svg()))
    {
        std::cerr << "cannot write " << FLAGS_svg << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(exit_code::done);
}

} // namespace parsleytrack::cli
