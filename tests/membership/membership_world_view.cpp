// Queries of what the simulated nodes believe.

#include "membership/membership_world.hpp"

#include <algorithm>

namespace parsleytrack
{

bool membership_world::is_running(int node) const
{
    return this->nodes[static_cast<std::size_t>(node)].running != nullptr;
}

const membership* membership_world::view_of(int node) const
{
    const node_slot& slot = this->nodes[static_cast<std::size_t>(node)];
    return slot.running && !slot.frozen ? &slot.running->members : nullptr;
}

node_state membership_world::belief(int observer, int subject) const
{
    const auto& seen =
        this->nodes[static_cast<std::size_t>(observer)].running->seen;
    const auto found = seen.find(name_of(subject));
    return found == seen.end() ? node_state::dead : found->second.state;
}

bool membership_world::sees_running_process(int observer, int subject) const
{
    if (!this->is_running(subject))
    {
        return true;
    }
    const auto process_at = [this](int node) -> const process&
    {
        return *this->nodes[static_cast<std::size_t>(node)].running;
    };
    const auto& seen = process_at(observer).seen;
    const auto found = seen.find(name_of(subject));
    return found != seen.end() &&
           found->second.process ==
               process_at(subject).members.own_info().process;
}

int membership_world::wrong_beliefs() const
{
    int wrong = 0;
    for (int observer = 0; observer < this->count(); ++observer)
    {
        for (int subject = 0; subject < this->count(); ++subject)
        {
            if (!this->is_running(observer) || observer == subject)
            {
                continue;
            }
            node_state truth = node_state::dead;
            if (this->is_running(subject))
            {
                const auto index = static_cast<std::size_t>(subject);
                truth = this->nodes[index].leaving ? node_state::leaving
                                                   : node_state::alive;
            }
            const bool right = this->belief(observer, subject) == truth &&
                               this->sees_running_process(observer, subject);
            wrong += right ? 0 : 1;
        }
    }
    return wrong;
}

duration membership_world::oldest_value_age(const std::string& topic) const
{
    duration oldest = duration::zero();
    for (const node_slot& slot : this->nodes)
    {
        for (int other = 0; slot.running && other < this->count(); ++other)
        {
            if (!this->is_running(other))
            {
                continue;
            }
            const auto& values = slot.running->board.latest(topic);
            const auto found = values.find(name_of(other));
            if (found == values.end())
            {
                return duration::max();
            }
            const auto& history = this->published.at({other, topic});
            oldest = std::max(oldest,
                              this->time - history.at(found->second.version));
        }
    }
    return oldest;
}

time_point membership_world::publish_time_of(int observer, int publisher,
                                             const std::string& topic) const
{
    const auto& running =
        *this->nodes[static_cast<std::size_t>(observer)].running;
    const auto version =
        running.board.latest(topic).at(name_of(publisher)).version;
    return this->published.at({publisher, topic}).at(version);
}

} // namespace parsleytrack
