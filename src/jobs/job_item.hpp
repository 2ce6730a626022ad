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
    /// Path and query of the request to the replica.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Tokens of the prompt plus those of the longest possible response.
    token_count tokens;
};

} // namespace parsleytrack::jobs
