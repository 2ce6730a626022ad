#include "allotments/group_share.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack::allotments
{

namespace
{

/// Longer than it takes for a node's return to be known everywhere, usually.
constexpr duration increase_delay = std::chrono::seconds(1);
/// The time until the loss of a node is noticed, in seconds. Until then its
/// part of the group uses buckets of its own.
constexpr double detection_s = 1.5;
constexpr std::size_t max_segments = 512;

} // namespace

group_share::group_share(time_point now)
{
    this->history.push_back(segment{now, 1.0, 0.0});
}

void group_share::update(std::size_t live, std::size_t lost, time_point now)
{
    check_invariant(live > 0, "the group contains this node");
    const double share =
        static_cast<double>(live) / static_cast<double>(live + lost);
    const double before = this->current();
    if (share <= before)
    {
        this->next_share.reset();
        if (share < before)
        {
            this->add(share, (before - share) * detection_s, now);
        }
        return;
    }
    if (!this->next_share)
    {
        this->next_share = share;
        this->next_since = now;
        return;
    }
    this->next_share = std::min(*this->next_share, share);
    if (now - this->next_since >= increase_delay)
    {
        this->add(*this->next_share, 0.0, now);
        this->next_share.reset();
    }
}

void group_share::add(double share, double charge_s, time_point now)
{
    this->history.push_back(segment{now, share, charge_s});
    if (this->history.size() > max_segments)
    {
        this->history.pop_front();
    }
}

} // namespace parsleytrack::allotments
