// How a gate counts the slots that work may take; what it does with them is in
// gate.cpp.

#include "decisions/gate.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

/// One slot in so many is kept from workspaces that use far more than others.
constexpr int share_reserve_divisor = 2;

} // namespace

int gate::free_slots(time_point now) const
{
    return this->health.allowed_slots(this->options.slots, now) -
           this->running.size() - this->foreign.count();
}

int gate::batch_room(time_point now) const
{
    if (!this->online.empty() || now < this->batch_held_until)
    {
        return 0;
    }
    // The one slot of a replica on trial is not reserved: without online work
    // nothing else would ever show that the replica has recovered.
    const int reserved =
        this->health.on_trial()
            ? 0
            : this->options.online_reserve + this->trade.reserved_slots();
    return this->free_slots(now) - reserved;
}

int gate::startable_online(time_point now) const
{
    const int excess_room =
        std::max(0, this->free_for_online(now) - this->share_reserve());
    int within_share = 0;
    int over_share = 0;
    this->online.for_each_workspace(
        [&](const workspace_name& workspace, int waiting)
        {
            (this->exceeds_share(workspace, now) ? over_share : within_share) +=
                waiting;
        });
    return within_share + std::min(over_share, excess_room);
}

bool gate::exceeds_share(const workspace_name& workspace, time_point now) const
{
    return this->slot_contention.lasts(now) &&
           this->usage.over_share(workspace, now);
}

int gate::share_reserve() const
{
    return this->options.slots / share_reserve_divisor;
}

int gate::free_for_online(time_point now) const
{
    return this->free_slots(now) + this->running.count(work_class::batch);
}

void gate::note_waiting(time_point now)
{
    if (this->startable_online(now) == 0)
    {
        this->waiting_since.reset();
    }
    else if (!this->waiting_since)
    {
        this->waiting_since = now;
    }
}

} // namespace parsleytrack
