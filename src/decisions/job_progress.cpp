#include "decisions/job_progress.hpp"

#include "units/invariant.hpp"

#include <cstddef>

namespace parsleytrack
{

int job_progress::ended_items() const
{
    int count = 0;
    for (const auto& [index, lot] : this->lots)
    {
        count += lot.ended_count();
    }
    return count;
}

int job_progress::ended_lots() const
{
    int count = 0;
    for (const auto& [index, lot] : this->lots)
    {
        const auto place = static_cast<std::size_t>(index);
        check_invariant(place < this->job.lots.size() &&
                            static_cast<int>(lot.ended.size()) ==
                                this->job.lots[place].items,
                        "a lot's record belongs to its job");
        count += lot.complete() ? 1 : 0;
    }
    return count;
}

const char* job_progress::status() const
{
    if (this->ended())
    {
        return this->job.cancelled ? "cancelled" : "completed";
    }
    return this->job.cancelled ? "cancelling" : "in_progress";
}

} // namespace parsleytrack
