#include "decisions/running_set.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// Deadlines that differ by less are equally urgent.
constexpr duration slack_step = std::chrono::minutes(10);

} // namespace

void running_set::add(const gate_work& work, time_point now)
{
    const bool added =
        this->entries.emplace(work.id, entry{work, now, false, false, false})
            .second;
    check_invariant(added, "work is started only once at a time");
}

running_set::entry* running_set::find(work_id id)
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

running_set::entry running_set::remove(work_id id)
{
    const auto found = this->entries.find(id);
    check_invariant(found != this->entries.end(),
                    "only work that was started can end");
    const entry removed = found->second;
    this->entries.erase(found);
    return removed;
}

std::optional<work_id> running_set::choose_victim() const
{
    // The item with clearly more slack; of those that are alike the one that
    // loses least by beginning again.
    const auto rank = [](const entry& candidate)
    {
        return std::pair(candidate.work.deadline.time_since_epoch() /
                             slack_step,
                         -candidate.work.outputs);
    };
    const entry* best = nullptr;
    for (const auto& [id, candidate] : this->entries)
    {
        if (candidate.work.kind != work_class::batch ||
            !candidate.work.preemptible || candidate.stopping)
        {
            continue;
        }
        if (best == nullptr || rank(candidate) > rank(*best))
        {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->work.id);
}

std::optional<work_id> running_set::choose_without_output() const
{
    for (const auto& [id, candidate] : this->entries)
    {
        if (candidate.work.kind == work_class::batch && !candidate.has_output &&
            candidate.work.preemptible && !candidate.stopping)
        {
            return id;
        }
    }
    return std::nullopt;
}

int running_set::count(work_class kind) const
{
    return static_cast<int>(std::count_if(
        this->entries.begin(), this->entries.end(),
        [kind](const auto& item) { return item.second.work.kind == kind; }));
}

int running_set::stopping_count() const
{
    return static_cast<int>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& item) { return item.second.stopping; }));
}

bool running_set::awaits_output() const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const auto& item)
                       { return !item.second.has_output; });
}

bool running_set::runs_alone() const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const auto& item)
                       { return item.second.work.run_alone; });
}

duration running_set::longest_without_output(time_point now) const
{
    duration longest = duration::zero();
    for (const auto& [id, item] : this->entries)
    {
        if (!item.has_output && item.work.kind == work_class::online)
        {
            longest = std::max(longest, now - item.started);
        }
    }
    return longest;
}

} // namespace parsleytrack
