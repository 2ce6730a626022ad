#pragma once

#include "jobs/owned_job.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace parsleytrack::relay
{

/// Pending reads of one job's results, answered when there are results.
class result_readers
{
public:
    /// Gets the page; absent if its results are in the store only.
    using page_callback =
        std::function<void(const std::optional<jobs::job_page>&)>;

    /// \param event_loop Outlives this object, as does the job.
    result_readers(net::event_loop& event_loop, const jobs::owned_job& read_job)
        : loop(event_loop), job(read_job)
    {
    }

    /// Reads results.
    ///
    /// \param after Position of the first result.
    /// \param wait How long to wait if there is no result yet.
    /// \param callback Gets the page, during this call or later.
    void read(std::size_t after, duration wait, page_callback callback);

    /// Answers the reads that have results now; all if the job is finished.
    void answer_ready();

    /// Answers all reads with the results that there are.
    void answer_all();

private:
    struct reader
    {
        std::size_t after = 0;
        page_callback callback;
        net::timer expiry;
    };

    std::optional<jobs::job_page> page(std::size_t after) const
    {
        return this->job.page(after, jobs::max_page_bytes);
    }

    net::event_loop& loop;
    const jobs::owned_job& job;
    std::list<reader> waiting;
};

} // namespace parsleytrack::relay
