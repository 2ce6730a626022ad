#include "decisions/batch_queue.hpp"

#include "units/invariant.hpp"

namespace parsleytrack
{

void batch_queue::push(const gate_work& work,
                       std::optional<time_point> give_back_at)
{
    const bool added =
        this->entries.emplace(work.id, entry{work, give_back_at}).second;
    check_invariant(added, "a batch item waits at a gate only once");
}

std::optional<gate_work> batch_queue::pop(bool may_run_alone)
{
    auto best = this->entries.end();
    for (auto item = this->entries.begin(); item != this->entries.end(); ++item)
    {
        if (item->second.work.run_alone && !may_run_alone)
        {
            continue;
        }
        if (best == this->entries.end() ||
            item->second.work.deadline < best->second.work.deadline)
        {
            best = item;
        }
    }
    if (best == this->entries.end())
    {
        return std::nullopt;
    }
    const gate_work taken = best->second.work;
    this->entries.erase(best);
    return taken;
}

bool batch_queue::remove(work_id id)
{
    return this->entries.erase(id) > 0;
}

std::vector<gate_work> batch_queue::take_overdue(time_point now)
{
    std::vector<gate_work> overdue;
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        const auto limit = item->second.give_back_at;
        if (!limit || *limit > now)
        {
            ++item;
            continue;
        }
        overdue.push_back(item->second.work);
        item = this->entries.erase(item);
    }
    return overdue;
}

std::optional<time_point> batch_queue::earliest_give_back() const
{
    std::optional<time_point> earliest;
    for (const auto& [id, item] : this->entries)
    {
        if (item.give_back_at && (!earliest || *item.give_back_at < *earliest))
        {
            earliest = item.give_back_at;
        }
    }
    return earliest;
}

std::vector<gate_work> batch_queue::take_all()
{
    std::vector<gate_work> all;
    for (const auto& [id, item] : this->entries)
    {
        all.push_back(item.work);
    }
    this->entries.clear();
    return all;
}

} // namespace parsleytrack
