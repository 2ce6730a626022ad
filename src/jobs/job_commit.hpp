#pragma once

#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "units/numbers.hpp"

#include <cstddef>
#include <vector>

namespace parsleytrack::jobs
{

/// Outcomes to write in one transaction.
struct job_commit
{
    /// The state with the new outcomes.
    job_state state;
    /// Revision that the stored state must still have.
    store_revision expected_revision;
    /// Position of the first new result.
    std::size_t first_position = 0;
    std::vector<job_result> results;
    /// Tokens that this commit subtracts from the route's usage.
    token_count released_tokens;
};

} // namespace parsleytrack::jobs
