#pragma once

#include "units/endpoint.hpp"
#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// What load is put on a fleet.
struct load_options
{
    /// Nodes that are asked for addresses.
    std::vector<endpoint> nodes;
    service_name service;
    model_name model;
    std::uint64_t seed = 1;
    /// Callers that each ask for addresses of their own.
    int callers = 16;
    duration sending_time = std::chrono::seconds(30);

    /// Online requests a second, outside of bursts.
    double rate = 10;
    /// Rate within a burst in multiples of `rate`.
    double burst_factor = 1;
    /// Time from one burst's start to the next; zero for no bursts.
    duration burst_interval = duration::zero();
    duration burst_length = std::chrono::seconds(2);
    duration deadline = std::chrono::seconds(10);
    int tokens = 32;

    /// Prompts of a family begin with the same text.
    int families = 20;
    std::size_t prefix_bytes = 1024;
    std::size_t question_bytes = 128;
    /// The workspace with number k sends in proportion to 1/k.
    int workspaces = 10;

    int batch_jobs = 0;
    int batch_items = 100;
    int batch_tokens = 32;
    duration batch_deadline = std::chrono::minutes(5);
};

} // namespace parsleytrack::cli
