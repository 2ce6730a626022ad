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

/// The load to generate on a fleet.
struct load_options
{
    /// Nodes that addresses are requested from.
    std::vector<endpoint> nodes;
    service_name service;
    model_name model;
    std::uint64_t seed = 1;
    /// Simulated callers, each with its own address_cache.
    int callers = 16;
    /// How long online requests are sent.
    duration sending_time = std::chrono::seconds(30);

    /// Online requests per second outside of bursts.
    double rate = 10;
    /// Rate within a burst, as a multiple of `rate`.
    double burst_factor = 1;
    /// Time between the starts of bursts; zero for no bursts.
    duration burst_interval = duration::zero();
    duration burst_length = std::chrono::seconds(2);
    duration deadline = std::chrono::seconds(10);
    /// Token limit of an online request.
    int tokens = 32;

    /// Prompts of a family begin with the same text.
    int families = 20;
    std::size_t prefix_bytes = 1024;
    std::size_t question_bytes = 128;
    /// Workspace k sends requests in proportion to 1/k.
    int workspaces = 10;

    int batch_jobs = 0;
    int batch_items = 100;
    /// Token limit of a batch item.
    int batch_tokens = 32;
    duration batch_deadline = std::chrono::minutes(5);
};

} // namespace parsleytrack::cli
