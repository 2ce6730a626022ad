#include "allotments/owner_outages.hpp"

#include <chrono>

namespace parsleytrack::allotments
{

namespace
{

constexpr duration probe_interval = std::chrono::milliseconds(250);
/// An owner that dies is not asked again; this forgets it.
constexpr duration max_age = std::chrono::minutes(1);

} // namespace

void owner_outages::mark_silent(const node_id& owner,
                                const workspace_name& workspace, time_point now)
{
    this->outages.try_emplace({owner, {}}, outage{now, now, workspace});
}

void owner_outages::probe_with(const node_id& owner,
                               const workspace_name& workspace)
{
    const auto found = this->outages.find({owner, {}});
    if (found != this->outages.end())
    {
        found->second.workspace = workspace;
    }
}

void owner_outages::mark_denied(const node_id& owner,
                                const workspace_name& workspace, time_point now)
{
    this->outages.erase({owner, {}});
    this->outages.try_emplace({owner, workspace}, outage{now, now, workspace});
}

void owner_outages::clear(const node_id& owner, const workspace_name& workspace)
{
    this->outages.erase({owner, {}});
    this->outages.erase({owner, workspace});
}

std::optional<time_point>
owner_outages::since(const node_id& owner,
                     const workspace_name& workspace) const
{
    for (const outage_key& key :
         {outage_key{owner, {}}, outage_key{owner, workspace}})
    {
        const auto found = this->outages.find(key);
        if (found != this->outages.end())
        {
            return found->second.since;
        }
    }
    return std::nullopt;
}

std::vector<workspace_name> owner_outages::take_due_probes(time_point now)
{
    std::erase_if(this->outages, [now](const auto& entry)
                  { return now - entry.second.since >= max_age; });
    std::vector<workspace_name> due;
    for (auto& [key, known] : this->outages)
    {
        if (now - known.last_probe >= probe_interval)
        {
            known.last_probe = now;
            due.push_back(known.workspace);
        }
    }
    return due;
}

} // namespace parsleytrack::allotments
