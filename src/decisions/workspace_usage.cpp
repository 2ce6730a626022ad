#include "decisions/workspace_usage.hpp"

namespace parsleytrack
{

namespace
{

/// Time in which a request loses two thirds of its weight.
constexpr duration memory = std::chrono::seconds(20);
constexpr double over_share_factor = 3.0;
/// Below this many requests a workspace is never over its share.
constexpr double few_requests = 6.0;
constexpr double forgotten_requests = 0.05;

} // namespace

void workspace_usage::asked(const workspace_name& workspace, time_point now)
{
    this->forget_idle(now);
    this->requests.try_emplace(workspace, memory).first->second.add(1.0, now);
}

bool workspace_usage::over_share(const workspace_name& workspace,
                                 time_point now) const
{
    double own = 0;
    double others = 0;
    int other_count = 0;
    for (const auto& [name, sum] : this->requests)
    {
        const double count = sum.at(now);
        if (name == workspace)
        {
            own = count;
        }
        else if (count > forgotten_requests)
        {
            others += count;
            other_count += 1;
        }
    }
    return other_count > 0 && own > few_requests &&
           own > over_share_factor * others / other_count;
}

void workspace_usage::forget_idle(time_point now)
{
    if (now < this->next_cleanup)
    {
        return;
    }
    this->next_cleanup = now + memory;
    std::erase_if(this->requests, [now](const auto& entry)
                  { return entry.second.at(now) < forgotten_requests; });
}

} // namespace parsleytrack
