#include "decisions/region_table.hpp"

namespace parsleytrack
{

bool region_table::merge(const region_summary& summary, time_point now)
{
    const auto found = this->regions.find(summary.region);
    if (found != this->regions.end() &&
        summary.version <= found->second.summary.version)
    {
        return false;
    }
    this->regions[summary.region] = entry{summary, now};
    return true;
}

std::vector<region_summary> region_table::summaries() const
{
    std::vector<region_summary> list;
    list.reserve(this->regions.size());
    for (const auto& [region, known] : this->regions)
    {
        list.push_back(known.summary);
    }
    return list;
}

} // namespace parsleytrack
