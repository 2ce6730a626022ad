#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// Results larger than this are read in several answers; the callers' bound.
constexpr std::size_t max_page_bytes = 1'000'000;

/// One result as callers read it.
struct job_result
{
    std::string item;
    bool completed = false;
    std::string output;
};

/// Some of a job's results, from a position onward.
struct job_page
{
    /// Items of the job.
    std::size_t total = 0;
    std::vector<job_result> results;
};

} // namespace parsleytrack::jobs
