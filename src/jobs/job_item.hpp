#pragma once

#include "units/numbers.hpp"

#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::jobs
{

/// One request of a batch job.
struct job_item
{
    std::string id;
    /// Path and query at the replica.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of its prompt and of the longest answer.
    token_count tokens;
};

} // namespace parsleytrack::jobs
