#include "workspaces/request_counts.hpp"

#include <algorithm>

namespace parsleytrack::workspaces
{

namespace
{

std::int64_t step_at(time_point now, std::size_t step_count)
{
    const duration step =
        request_counts::window / static_cast<std::int64_t>(step_count);
    return now.time_since_epoch() / step;
}

} // namespace

request_counts::totals& request_counts::recent_totals::at(std::int64_t step)
{
    // A clock that steps back would otherwise clear the whole ring.
    const std::int64_t current = std::max(step, this->latest);
    const auto count = static_cast<std::int64_t>(step_count);
    for (std::int64_t next = std::max(this->latest + 1, current - count + 1);
         next <= current; ++next)
    {
        this->steps[static_cast<std::size_t>(next % count)] = {};
    }
    this->latest = current;
    return this->steps[static_cast<std::size_t>(current % count)];
}

request_counts::totals
request_counts::recent_totals::sum(std::int64_t now_step) const
{
    totals result;
    const auto count = static_cast<std::int64_t>(step_count);
    const std::int64_t first =
        std::max<std::int64_t>({0, now_step - count, this->latest - count}) + 1;
    for (std::int64_t step = first; step <= this->latest; ++step)
    {
        const totals& part =
            this->steps[static_cast<std::size_t>(step % count)];
        result.granted += part.granted;
        result.refused += part.refused;
    }
    return result;
}

bool request_counts::recent_totals::is_outdated(std::int64_t now_step) const
{
    return this->latest + static_cast<std::int64_t>(step_count) <= now_step;
}

request_counts::recent_totals*
request_counts::find_or_add(const workspace_name& workspace, std::int64_t step)
{
    if (this->cleaned_at + static_cast<std::int64_t>(step_count) <= step)
    {
        this->cleaned_at = step;
        std::erase_if(this->entries, [step](const auto& entry)
                      { return entry.second.is_outdated(step); });
    }
    const auto known = this->entries.find(workspace);
    if (known != this->entries.end())
    {
        return &known->second;
    }
    if (this->entries.size() >= max_workspaces)
    {
        return nullptr;
    }
    return &this->entries[workspace];
}

void request_counts::count_granted(const workspace_name& workspace,
                                   time_point now)
{
    const std::int64_t step = step_at(now, step_count);
    this->all.at(step).granted += 1;
    if (recent_totals* counts = this->find_or_add(workspace, step))
    {
        counts->at(step).granted += 1;
    }
}

void request_counts::count_refused(const workspace_name& workspace,
                                   time_point now)
{
    const std::int64_t step = step_at(now, step_count);
    this->all.at(step).refused += 1;
    if (recent_totals* counts = this->find_or_add(workspace, step))
    {
        counts->at(step).refused += 1;
    }
}

request_counts::totals request_counts::of(const workspace_name& workspace,
                                          time_point now) const
{
    const auto known = this->entries.find(workspace);
    return known == this->entries.end()
               ? totals{}
               : known->second.sum(step_at(now, step_count));
}

request_counts::totals request_counts::total(time_point now) const
{
    return this->all.sum(step_at(now, step_count));
}

std::vector<request_counts::workspace_totals>
request_counts::busiest(std::size_t limit, time_point now) const
{
    const std::int64_t step = step_at(now, step_count);
    std::vector<workspace_totals> found;
    for (const auto& [workspace, counts] : this->entries)
    {
        const totals sum = counts.sum(step);
        if (sum != totals{})
        {
            found.push_back({workspace, sum});
        }
    }
    // The entries are in the order of their names.
    std::stable_sort(
        found.begin(), found.end(),
        [](const workspace_totals& left, const workspace_totals& right)
        {
            return left.requests.granted + left.requests.refused >
                   right.requests.granted + right.requests.refused;
        });
    if (found.size() > limit)
    {
        found.resize(limit);
    }
    return found;
}

} // namespace parsleytrack::workspaces
