#include "soak/soak_run.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_int32(seeds, 1, "how many runs, with seeds that follow one another");
DEFINE_int32(seconds, 10, "how long faults come in each run");
DEFINE_int32(nodes, 4, "nodes of the fleet");
DEFINE_bool(silence_and_announcements, false,
            "whether connections also go silent for good and replicas announce "
            "in their responses that they leave");
DEFINE_bool(repeated_responses, false,
            "whether replicas also write responses twice, in addition to "
            "--silence_and_announcements");
DEFINE_bool(stranded_nodes, false,
            "whether nodes also lose their links to all replicas, and replicas "
            "come back with another version, in addition to "
            "--repeated_responses");
DEFINE_bool(returning_replicas, false,
            "whether replicas also crash and come back under their ids with "
            "another version, in addition to --repeated_responses");
DEFINE_bool(workspaces, false,
            "whether callers use the keys of workspaces, which operators "
            "change, in addition to --repeated_responses");
DEFINE_bool(moving_routes, false,
            "whether configurations move and split routes, in addition to "
            "--repeated_responses");
DEFINE_string(logs, "", "folder for a log of the faults of each failed run");

namespace
{

int run_all()
{
    using parsleytrack::soak::fault_kinds;
    fault_kinds kinds = FLAGS_silence_and_announcements
                            ? fault_kinds::with_silence_and_announcements
                            : fault_kinds::basic;
    if (FLAGS_repeated_responses)
    {
        kinds = fault_kinds::with_repeated_responses;
    }
    if (FLAGS_stranded_nodes)
    {
        kinds = fault_kinds::with_stranded_nodes;
    }
    if (FLAGS_returning_replicas)
    {
        kinds = fault_kinds::with_returning_replicas;
    }
    if (FLAGS_workspaces)
    {
        kinds = fault_kinds::with_workspaces;
    }
    if (FLAGS_moving_routes)
    {
        kinds = fault_kinds::with_moving_routes;
    }
    int failed = 0;
    const std::uint64_t end =
        FLAGS_first_seed + static_cast<std::uint64_t>(FLAGS_seeds);
    for (std::uint64_t seed = FLAGS_first_seed; seed < end; ++seed)
    {
        std::ostringstream faults;
        const auto outcome = parsleytrack::soak::run_soak(
            seed, FLAGS_nodes, std::chrono::seconds(FLAGS_seconds), kinds,
            faults);
        std::cout << "seed " << seed << ": " << outcome.requests
                  << " requests, " << outcome.served << " served, "
                  << outcome.jobs << " jobs, "
                  << (outcome.workspaces.empty() ? ""
                                                 : outcome.workspaces + ", ")
                  << outcome.violations.size() << " violations" << std::endl;
        if (outcome.violations.empty())
        {
            continue;
        }
        ++failed;
        for (const std::string& violation : outcome.violations)
        {
            std::cout << "  " << violation << '\n';
        }
        if (FLAGS_logs.empty())
        {
            std::cout << faults.str();
            continue;
        }
        std::ofstream(FLAGS_logs + "/seed-" + std::to_string(seed) + ".txt")
            << faults.str();
    }
    std::cout << FLAGS_seeds - failed << " of " << FLAGS_seeds
              << " seeds without a violation\n";
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    // An exception that is caught here has passed the fleet's destructor,
    // which ends the processes.
    try
    {
        return run_all();
    }
    catch (const std::exception& problem)
    {
        std::cerr << "the run ended early: " << problem.what() << '\n';
        return 1;
    }
}
