#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace parsleytrack::jobs
{

/// Callers accept pages up to this size; more results take several pages.
constexpr std::size_t max_page_bytes = 1'000'000;

/// A result as returned to callers.
struct job_result
{
    std::string item;
    bool completed = false;
    std::string output;
};

/// Consecutive results of a job, starting at a position.
struct job_page
{
    /// Number of items in the job.
    std::size_t total = 0;
    std::vector<job_result> results;
};

} // namespace parsleytrack::jobs
