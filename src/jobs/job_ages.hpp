#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <map>

namespace parsleytrack::jobs
{

/// Ages of jobs by the steady clock: the age in a job's record plus the time
/// since this process read it. Never more than the true age, so that no job is
/// given up or erased early, whatever the time of day is on any instance.
class job_ages
{
public:
    /// Records that a job has at least an age.
    ///
    /// \param age The age in its record, or zero.
    void observe(const job_id& job, duration age, time_point now);

    /// \returns The age; zero for a job that was not observed.
    duration age_of(const job_id& job, time_point now) const;

    /// Forgets the jobs whose last observation is older than a time.
    void forget_before(time_point limit);

    std::size_t size() const { return this->jobs.size(); }

private:
    struct observation
    {
        /// The job was submitted at this time or earlier.
        time_point submitted_before;
        time_point last_observed;
    };

    std::map<job_id, observation> jobs;
};

} // namespace parsleytrack::jobs
