#pragma once

#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "units/numbers.hpp"

#include <cstddef>
#include <vector>

namespace parsleytrack::jobs
{

/// Outcomes that are to be written together.
struct job_commit
{
    /// The state with the new outcomes.
    job_state state;
    /// The revision that the state must still have.
    store_revision expected_revision;
    /// Position of the first new result.
    std::size_t first_position = 0;
    std::vector<job_result> results;
    /// Tokens that the route's usage no longer counts after this commit.
    token_count released_tokens;
};

} // namespace parsleytrack::jobs
