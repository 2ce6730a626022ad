// The memory of the outputs of a job's items.

#include "relay/job_owner.hpp"

#include <algorithm>

namespace parsleytrack::relay
{

bool job_owner::may_start_item() const
{
    if (this->runs.size() >= this->run_limit)
    {
        return false;
    }
    const bool will_free_memory = !this->runs.empty() ||
                                  this->owned.has_uncommitted() ||
                                  this->owned.is_committing();
    return !this->output_budget.is_half_used() || !will_free_memory;
}

void job_owner::lower_run_limit()
{
    this->run_limit = std::max<std::size_t>(this->runs.size(), 1);
}

void job_owner::raise_run_limit()
{
    if (!this->output_budget.is_half_used())
    {
        this->run_limit = std::min(this->run_limit + 1, max_runs);
    }
}

void job_owner::claim_outputs()
{
    std::size_t bytes =
        this->owned.output_bytes() + this->progress.output_bytes();
    for (const auto& [item, run] : this->runs)
    {
        bytes += run->buffered_bytes();
    }
    this->output_claim.set(bytes);
}

void job_owner::release_outputs()
{
    if (this->output_budget.is_half_used())
    {
        this->owned.release_outputs();
        this->claim_outputs();
    }
}

} // namespace parsleytrack::relay
