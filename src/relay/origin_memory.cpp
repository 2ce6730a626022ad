#include "relay/origin_memory.hpp"

namespace parsleytrack::relay
{

void origin_memory::record(const entry& added, time_point now)
{
    this->entries[added.request] = known_origin{added.origin, added.until};
    this->order.emplace_back(added.until, added.request);
    while (!this->order.empty() && (this->order.front().first <= now ||
                                    this->order.size() > this->max_size))
    {
        const auto& [until, request] = this->order.front();
        const auto known = this->entries.find(request);
        if (known != this->entries.end() && known->second.until == until)
        {
            this->entries.erase(known);
        }
        this->order.pop_front();
    }
}

std::optional<stream_origin> origin_memory::find(const request_id& request,
                                                 time_point now) const
{
    const auto known = this->entries.find(request);
    return known == this->entries.end() || known->second.until <= now
               ? std::nullopt
               : std::optional(known->second.origin);
}

std::vector<origin_memory::entry> origin_memory::all(time_point now) const
{
    std::vector<entry> valid;
    for (const auto& [request, known] : this->entries)
    {
        if (known.until > now)
        {
            valid.push_back(entry{request, known.origin, known.until});
        }
    }
    return valid;
}

} // namespace parsleytrack::relay
