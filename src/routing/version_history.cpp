#include "routing/version_history.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::routing
{

namespace
{

/// Longer than any stream lasts.
constexpr duration max_age = std::chrono::minutes(10);

} // namespace

void version_history::observe(const std::map<replica_id, replica_entry>& listed,
                              time_point now)
{
    if (!this->observed_since)
    {
        this->observed_since = now;
    }
    for (auto& [service, versions] : this->last_listed)
    {
        for (auto& [version, until] : versions)
        {
            until = std::min(until, now);
        }
        std::erase_if(versions, [now](const auto& known)
                      { return known.second < now - max_age; });
    }
    for (const auto& [id, entry] : listed)
    {
        this->last_listed[entry.service][entry.version] = time_point::max();
    }
}

std::set<software_version>
version_history::versions_since(const service_name& service,
                                time_point since) const
{
    std::set<software_version> found;
    const auto known = this->last_listed.find(service);
    if (known == this->last_listed.end())
    {
        return found;
    }
    for (const auto& [version, until] : known->second)
    {
        if (until >= since)
        {
            found.insert(version);
        }
    }
    return found;
}

service_versions version_history::all_since(time_point since) const
{
    service_versions found;
    for (const auto& [service, versions] : this->last_listed)
    {
        auto recent = this->versions_since(service, since);
        if (!recent.empty())
        {
            found.emplace(service, std::move(recent));
        }
    }
    return found;
}

} // namespace parsleytrack::routing
