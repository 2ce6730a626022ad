#pragma once

#include "jobs/job_page.hpp"

#include <cstddef>
#include <utility>

namespace parsleytrack::jobs
{

/// Fills a page with results up to a size limit. The first result always fits,
/// whatever its size.
class page_builder
{
public:
    /// \param total Number of items in the job.
    /// \param max_bytes Limit on the total size of the outputs.
    page_builder(std::size_t total, std::size_t max_bytes) : limit(max_bytes)
    {
        this->page.total = total;
    }

    /// \returns Whether the result was added; if not, the page is full.
    bool add(job_result result)
    {
        this->bytes += result.output.size();
        if (!this->page.results.empty() && this->bytes > this->limit)
        {
            return false;
        }
        this->page.results.push_back(std::move(result));
        return true;
    }

    job_page finish() { return std::move(this->page); }

private:
    job_page page;
    std::size_t limit;
    std::size_t bytes = 0;
};

} // namespace parsleytrack::jobs
