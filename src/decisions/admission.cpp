#include "decisions/admission.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

constexpr double newest_weight = 0.1;
constexpr duration shortest_retry_after = std::chrono::milliseconds(100);

} // namespace

admission::admission(int limit)
    : queue_limit(limit), slot_time(newest_weight), latency(newest_weight)
{
}

void admission::occupied(duration time_on_replica)
{
    this->slot_time.add(time_on_replica);
}

void admission::first_output(duration measured)
{
    this->latency.add(measured);
}

std::optional<admission::refusal>
admission::refuse(const gate_work& work, const fair_queue& queue,
                  int online_slots, int free_slots, time_point now) const
{
    if (work.deadline <= now)
    {
        return refusal{error_code::deadline_exceeded, shortest_retry_after};
    }
    const int ahead = queue.position_of_new(work.workspace);
    const duration left = work.deadline - now;
    const duration predicted = this->predict(ahead, online_slots, free_slots);
    if (predicted > left)
    {
        const duration interval = this->drain_interval(online_slots);
        const int excess =
            interval.count() > 0
                ? static_cast<int>((predicted - left) / interval) + 1
                : 1;
        return refusal{error_code::overloaded,
                       this->retry_after(excess, online_slots)};
    }
    if (!this->full(queue))
    {
        return std::nullopt;
    }
    // The queue is full: a workspace that holds less than the longest lane
    // displaces a request of that lane, others are refused.
    if (queue.size_of(work.workspace) + 1 < queue.longest())
    {
        return std::nullopt;
    }
    const bool over_share = queue.workspace_count() > 1;
    return refusal{over_share ? error_code::workspace_limit
                              : error_code::overloaded,
                   this->retry_after(1, online_slots)};
}

duration admission::predict(int ahead, int online_slots, int free_slots) const
{
    const int must_end = std::max(0, ahead + 1 - free_slots);
    return this->drain_interval(online_slots) * must_end +
           this->latency.value();
}

duration admission::drain_interval(int online_slots) const
{
    return this->slot_time.value() / std::max(1, online_slots);
}

duration admission::retry_after(int excess, int online_slots) const
{
    return std::max(shortest_retry_after,
                    this->drain_interval(online_slots) * excess);
}

} // namespace parsleytrack
