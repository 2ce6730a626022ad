// In which order the workspaces of a broker are served.

#include "slots/slot_broker.hpp"

#include <iterator>
#include <limits>
#include <tuple>

namespace parsleytrack::slots
{

bool slot_broker::rank::is_same_lane(const rank& other) const
{
    return this->late == other.late && this->priority == other.priority &&
           this->workspace == other.workspace;
}

slot_broker::service_pass::service_pass(queue& visited,
                                        const sharing_state& sharing,
                                        time_point now)
    : requests(visited), state(sharing), shared(sharing.use.has_workspaces())
{
    const std::vector<sharing::lane> found = this->find_lanes(now);
    this->order.emplace(found, sharing.use.expected_hold(), sharing.turns,
                        this->shared);
}

std::vector<sharing::lane> slot_broker::service_pass::find_lanes(time_point now)
{
    std::vector<sharing::lane> found;
    for (auto entry = this->requests.begin(); entry != this->requests.end();)
    {
        rank last = entry->first;
        const double use = this->state.use.use_of(last.workspace, now);
        this->lanes.push_back({entry, last.priority, use});
        found.push_back({last.late, last.priority, use});
        this->shared = this->shared || !last.workspace.empty();
        last.useful_until = time_point::max();
        last.ticket = slot_ticket(std::numeric_limits<std::int64_t>::max());
        entry = this->requests.upper_bound(last);
    }
    this->link_late_lanes(found);
    return found;
}

void slot_broker::service_pass::link_late_lanes(
    std::vector<sharing::lane>& found) const
{
    const auto key_of = [this](std::size_t index)
    {
        const rank& first = this->lanes[index].next->first;
        return std::tie(first.priority, first.workspace);
    };
    // Lanes on time and late ones are in the same order.
    std::size_t on_time = 0;
    for (std::size_t index = 0; index < found.size(); ++index)
    {
        if (!found[index].late)
        {
            continue;
        }
        while (!found[on_time].late && key_of(on_time) < key_of(index))
        {
            ++on_time;
        }
        if (!found[on_time].late && key_of(on_time) == key_of(index))
        {
            found[index].after = on_time;
        }
    }
}

slot_broker::queue::iterator slot_broker::service_pass::next()
{
    const auto lane = this->order->next();
    if (!lane)
    {
        return this->requests.end();
    }
    this->current = *lane;
    return this->lanes[*lane].next;
}

void slot_broker::service_pass::grant(bool remove)
{
    if (this->shared)
    {
        ++this->passed[this->lanes[this->current].priority];
    }
    this->order->grant(this->advance(remove));
}

void slot_broker::service_pass::skip(bool remove)
{
    this->order->skip(this->advance(remove));
}

bool slot_broker::service_pass::advance(bool remove)
{
    queue::iterator& entry = this->lanes[this->current].next;
    const auto following = std::next(entry);
    const bool has_more = following != this->requests.end() &&
                          following->first.is_same_lane(entry->first);
    if (remove)
    {
        this->requests.erase(entry);
    }
    entry = following;
    return has_more;
}

double slot_broker::service_pass::claimed_share(const capacity& all)
{
    if (!this->shared || all.slots <= 0.0)
    {
        return 0.0;
    }
    lane_state& lane = this->lanes[this->current];
    if (!lane.claimed)
    {
        lane.claimed =
            this->state.use.claimed_before(lane.priority, lane.use) / all.slots;
    }
    return *lane.claimed;
}

std::optional<std::size_t> slot_broker::service_pass::place_by_turn() const
{
    const int priority = this->lanes[this->current].priority;
    if (!this->shared || (this->lanes.front().priority >= priority &&
                          !this->state.use.has_more_urgent(priority)))
    {
        return std::nullopt;
    }
    const auto before = this->passed.find(priority);
    const std::size_t turns_before =
        before == this->passed.end() ? 0 : before->second;
    return this->state.turns.grants_before_turn(priority) +
           turns_before * sharing::priority_turns::interval;
}

bool slot_broker::shares(const sharing_state& state,
                         const waiting_request& waiting)
{
    return !waiting.request.workspace.empty() || state.use.has_workspaces();
}

slot_broker::queue& slot_broker::queue_of(work_class kind)
{
    return kind == work_class::online ? this->online : this->batch;
}

slot_broker::sharing_state& slot_broker::sharing_of(work_class kind)
{
    return kind == work_class::online ? this->online_sharing
                                      : this->batch_sharing;
}

std::vector<sharing::workspace_use>
slot_broker::largest_users(work_class kind, std::size_t count,
                           time_point now) const
{
    const sharing_state& state =
        kind == work_class::online ? this->online_sharing : this->batch_sharing;
    return state.use.largest(count, now);
}

} // namespace parsleytrack::slots
