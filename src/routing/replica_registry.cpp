#include "routing/replica_registry.hpp"

#include <algorithm>

namespace parsleytrack::routing
{

void replica_registry::replace_all(
    const std::map<replica_id, replica_entry>& listed, bool after_outage,
    time_point now)
{
    this->store_reachable = true;
    if (after_outage)
    {
        this->grace_end = now + return_grace;
    }
    for (const auto& [id, entry] : listed)
    {
        this->update(entry);
    }
    std::vector<replica_id> missing;
    for (const auto& [id, entry] : this->entries)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    for (const replica_id& id : missing)
    {
        this->remove(id, now);
    }
}

void replica_registry::update(const replica_entry& entry)
{
    ++this->change_count;
    this->missing_until.erase(entry.id);
    this->entries[entry.id] = entry;
}

void replica_registry::remove(const replica_id& id, time_point now)
{
    if (!this->entries.contains(id))
    {
        return;
    }
    ++this->change_count;
    if (!this->store_reachable || now < this->grace_end)
    {
        this->missing_until.emplace(id, this->grace_end);
        return;
    }
    this->entries.erase(id);
    this->missing_until.erase(id);
}

bool replica_registry::mark_leaving(const replica_process_id& process)
{
    if (!this->leaving.insert(process).second)
    {
        return false;
    }
    this->leaving_order.push_back(process);
    if (this->leaving_order.size() > max_leaving_marks)
    {
        this->leaving.erase(this->leaving_order.front());
        this->leaving_order.pop_front();
    }
    ++this->change_count;
    return true;
}

std::vector<replica_id> replica_registry::expire(time_point now)
{
    std::vector<replica_id> gone;
    if (!this->store_reachable || now < this->grace_end)
    {
        return gone;
    }
    for (const auto& [id, until] : this->missing_until)
    {
        gone.push_back(id);
        this->entries.erase(id);
    }
    this->missing_until.clear();
    if (!gone.empty())
    {
        ++this->change_count;
    }
    return gone;
}

std::vector<const replica_entry*>
replica_registry::usable(const service_name& name) const
{
    std::vector<const replica_entry*> found;
    for (const auto& [id, entry] : this->entries)
    {
        if (entry.service == name && this->is_usable(entry))
        {
            found.push_back(&entry);
        }
    }
    return found;
}

bool replica_registry::has_usable(const service_name& name) const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [this, &name](const auto& known) {
                           return known.second.service == name &&
                                  this->is_usable(known.second);
                       });
}

bool replica_registry::has_usable(const service_name& name,
                                  const software_version& version,
                                  const std::set<replica_id>& excluded) const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [this, &name, &version, &excluded](const auto& known)
                       {
                           const replica_entry& entry = known.second;
                           return entry.service == name &&
                                  entry.version == version &&
                                  !excluded.contains(entry.id) &&
                                  this->is_usable(entry);
                       });
}

const replica_entry* replica_registry::find_usable(const replica_id& id) const
{
    const auto found = this->entries.find(id);
    return found != this->entries.end() && this->is_usable(found->second)
               ? &found->second
               : nullptr;
}

bool replica_registry::is_usable(const replica_entry& entry) const
{
    return !entry.draining && !this->leaving.contains(process_of(entry));
}

} // namespace parsleytrack::routing
