#include "jobs/job_ages.hpp"

#include <algorithm>

namespace parsleytrack::jobs
{

void job_ages::observe(const job_id& job, duration age, time_point now)
{
    const time_point submitted_before = now - age;
    const auto [found, inserted] =
        this->jobs.emplace(job, observation{submitted_before, now});
    found->second.submitted_before =
        std::min(found->second.submitted_before, submitted_before);
    found->second.last_observed = now;
}

duration job_ages::age_of(const job_id& job, time_point now) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? duration::zero()
                                     : now - found->second.submitted_before;
}

void job_ages::forget_before(time_point limit)
{
    std::erase_if(this->jobs, [limit](const auto& entry)
                  { return entry.second.last_observed < limit; });
}

} // namespace parsleytrack::jobs
