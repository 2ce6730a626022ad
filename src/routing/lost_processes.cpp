#include "routing/lost_processes.hpp"

#include <algorithm>
#include <chrono>

namespace parsleytrack::routing
{

void lost_processes::record(const replica_process_id& process, time_point now)
{
    std::erase_if(
        this->entries, [&process, now](const entry& known)
        { return known.process == process || now - known.at >= list_delay; });
    this->entries.push_back(entry{process, now});
    if (this->entries.size() > max_entries)
    {
        this->entries.pop_front();
    }
}

bool lost_processes::has_recent(time_point now) const
{
    return !this->entries.empty() && now - this->entries.back().at < list_delay;
}

std::optional<time_point>
lost_processes::lost_at(const replica_process_id& process, time_point now,
                        std::size_t listed) const
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&process](const entry& known)
                                    { return known.process == process; });
    if (found == this->entries.end() || now - found->at >= list_delay ||
        this->is_in_burst(found->at, listed))
    {
        return std::nullopt;
    }
    return found->at;
}

bool lost_processes::is_in_burst(time_point at, std::size_t listed) const
{
    const auto close = std::count_if(
        this->entries.begin(), this->entries.end(),
        [at](const entry& known)
        { return std::chrono::abs(known.at - at) <= burst_window; });
    return static_cast<std::size_t>(close) >=
           std::max(min_burst_size, (listed + 1) / 2);
}

} // namespace parsleytrack::routing
