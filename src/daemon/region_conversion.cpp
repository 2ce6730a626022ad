#include "daemon/region_conversion.hpp"

#include "wire/codec.hpp"
#include "wire/generated/membership_types.h"

#include <limits>

namespace parsleytrack
{

namespace
{

constexpr std::size_t max_regions = 64;
constexpr std::size_t max_contacts = 8;

} // namespace

std::string encode_regions(const std::vector<region_summary>& summaries)
{
    wire::region_state_list message;
    for (const region_summary& summary : summaries)
    {
        wire::region_state state;
        state.region = summary.region.str();
        state.version = summary.version;
        state.release = summary.release.count();
        state.nodes = summary.nodes;
        for (const endpoint& contact : summary.contacts)
        {
            wire::region_contact address;
            address.host = contact.host;
            address.port = contact.port;
            state.contacts.push_back(std::move(address));
        }
        message.regions.push_back(std::move(state));
    }
    return wire::encode(message);
}

result<std::vector<region_summary>> decode_regions(std::string_view bytes)
{
    const auto decoded = wire::decode<wire::region_state_list>(bytes);
    if (decoded.has_error())
    {
        return decoded.error();
    }
    std::vector<region_summary> summaries;
    for (const wire::region_state& state : decoded.value().regions)
    {
        if (state.region.empty() || summaries.size() >= max_regions)
        {
            continue;
        }
        region_summary summary;
        summary.region = region_name(state.region);
        summary.version = state.version;
        summary.release = release_version(state.release);
        summary.nodes = state.nodes;
        for (const wire::region_contact& contact : state.contacts)
        {
            const bool valid =
                contact.port > 0 &&
                contact.port <= std::numeric_limits<std::uint16_t>::max();
            if (valid && summary.contacts.size() < max_contacts)
            {
                summary.contacts.push_back(endpoint{
                    contact.host, static_cast<std::uint16_t>(contact.port)});
            }
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

} // namespace parsleytrack
