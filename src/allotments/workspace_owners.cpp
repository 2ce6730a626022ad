#include "allotments/workspace_owners.hpp"

#include "decisions/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::allotments
{

namespace
{

/// Several times the largest group.
constexpr std::size_t max_gone = 2000;
/// Several times the most workspaces.
constexpr std::size_t max_found_owners = 20'000;

} // namespace

workspace_owners::workspace_owners(node_id own_node) : own(std::move(own_node))
{
}

bool workspace_owners::update(const std::vector<node_info>& live,
                              time_point now)
{
    std::map<node_id, node_info> serving;
    for (const node_info& node : live)
    {
        const auto found = this->excluded.find(node.id);
        const bool is_excluded =
            found != this->excluded.end() && found->second == node.process;
        if (node.entry && !is_excluded)
        {
            serving.emplace(node.id, node);
        }
    }
    bool is_changed = this->remove_gone(serving, now);
    for (const auto& [id, node] : serving)
    {
        const auto [known, is_new] =
            this->candidates.try_emplace(id, candidate{node, now});
        // A process that was replaced unseen has no memory of its bucket.
        const bool is_restarted =
            !is_new && known->second.node.process != node.process;
        if (is_new || is_restarted)
        {
            known->second.since = now;
            known->second.is_confirmed = false;
            this->gone.erase(id);
            is_changed = true;
        }
        known->second.node = node;
    }
    this->found_owners.clear();
    return is_changed;
}

bool workspace_owners::remove_gone(const std::map<node_id, node_info>& live,
                                   time_point now)
{
    bool is_changed = false;
    for (auto entry = this->candidates.begin();
         entry != this->candidates.end();)
    {
        if (live.contains(entry->first))
        {
            ++entry;
            continue;
        }
        this->gone[entry->first] = now;
        entry = this->candidates.erase(entry);
        is_changed = true;
    }
    if (this->gone.size() > max_gone)
    {
        this->forget_oldest_gone();
    }
    return is_changed;
}

void workspace_owners::forget_oldest_gone()
{
    std::vector<time_point> times;
    for (const auto& [id, time] : this->gone)
    {
        times.push_back(time);
    }
    const auto middle = times.begin() + max_gone / 2;
    std::nth_element(times.begin(), middle, times.end());
    this->known_since = std::max(this->known_since, *middle);
    std::erase_if(this->gone, [this](const auto& entry)
                  { return entry.second <= this->known_since; });
}

void workspace_owners::restart_own(time_point now)
{
    const auto found = this->candidates.find(this->own);
    if (found != this->candidates.end())
    {
        found->second.since = now;
        this->found_owners.clear();
    }
}

void workspace_owners::exclude(const node_info& node, time_point now)
{
    this->excluded[node.id] = node.process;
    const auto found = this->candidates.find(node.id);
    if (found != this->candidates.end() &&
        found->second.node.process == node.process)
    {
        this->candidates.erase(found);
        this->gone[node.id] = now;
        this->found_owners.clear();
    }
}

void workspace_owners::confirm(const node_info& node)
{
    const auto found = this->candidates.find(node.id);
    if (found != this->candidates.end() &&
        found->second.node.process == node.process)
    {
        found->second.is_confirmed = true;
    }
}

bool workspace_owners::is_confirmed(const node_info& node) const
{
    const auto found = this->candidates.find(node.id);
    return found != this->candidates.end() && found->second.is_confirmed &&
           found->second.node.process == node.process;
}

const workspace_owner* workspace_owners::owner_of(const workspace_name& name)
{
    if (this->candidates.empty())
    {
        return nullptr;
    }
    const auto found = this->found_owners.find(name);
    if (found != this->found_owners.end())
    {
        return &found->second;
    }
    if (this->found_owners.size() >= max_found_owners)
    {
        this->found_owners.clear();
    }
    return &this->found_owners.emplace(name, this->find_owner(name))
                .first->second;
}

workspace_owner workspace_owners::find_owner(const workspace_name& name) const
{
    const candidate* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& [id, entry] : this->candidates)
    {
        const std::uint64_t score = rendezvous_score(id.str(), name.str());
        if (best == nullptr || score > best_score)
        {
            best = &entry;
            best_score = score;
        }
    }
    time_point since = std::max(best->since, this->known_since);
    for (const auto& [id, time] : this->gone)
    {
        if (time > since && rendezvous_score(id.str(), name.str()) > best_score)
        {
            since = time;
        }
    }
    return workspace_owner{best->node, since};
}

} // namespace parsleytrack::allotments
