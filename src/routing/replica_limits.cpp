#include "routing/replica_limits.hpp"

#include <algorithm>

namespace parsleytrack::routing
{

bool replica_limits::observe(const replica_process_id& process,
                             const limit_observation& observation)
{
    const auto known = this->observations.find(process);
    if (known == this->observations.end())
    {
        if (!observation.limit)
        {
            return false;
        }
        if (this->observations.size() >= max_processes)
        {
            this->drop_oldest();
        }
        this->observations.emplace(process, observation);
        return true;
    }
    if (observation.at < known->second.at)
    {
        return false;
    }
    const bool changed = known->second.limit != observation.limit;
    known->second = observation;
    return changed;
}

const limit_observation*
replica_limits::find(const replica_process_id& process) const
{
    const auto known = this->observations.find(process);
    return known == this->observations.end() ? nullptr : &known->second;
}

std::optional<request_rate>
replica_limits::limit_of(const replica_process_id& process) const
{
    const limit_observation* known = this->find(process);
    return known == nullptr ? std::nullopt : known->limit;
}

void replica_limits::drop_oldest()
{
    this->observations.erase(
        std::min_element(this->observations.begin(), this->observations.end(),
                         [](const auto& left, const auto& right)
                         { return left.second.at < right.second.at; }));
}

} // namespace parsleytrack::routing
