#include "decisions/update_queue.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace parsleytrack
{

update_queue::update_queue(const member_table& known) : table(known) {}

void update_queue::add(const node_id& id)
{
    this->members[id] = progress{0, this->next_order++};
}

std::size_t update_queue::fill(membership_packet& packet,
                               const member_record& own, std::size_t room,
                               int transmissions)
{
    std::vector<std::map<node_id, progress>::iterator> order;
    for (auto entry = this->members.begin(); entry != this->members.end();
         ++entry)
    {
        order.push_back(entry);
    }
    std::sort(
        order.begin(), order.end(),
        [](const auto& left, const auto& right)
        {
            return std::tie(left->second.transmissions, right->second.order) <
                   std::tie(right->second.transmissions, left->second.order);
        });
    std::size_t used = 0;
    for (const auto& entry : order)
    {
        const auto* known = this->table.find(entry->first);
        const bool is_own = entry->first == own.node.id;
        if (known == nullptr && !is_own)
        {
            entry->second.transmissions = transmissions;
            continue;
        }
        const member_record& record = is_own ? own : known->record;
        const std::size_t size = encoded_size_bound(record);
        if (used + size > room)
        {
            break;
        }
        packet.members.push_back(record);
        used += size;
        ++entry->second.transmissions;
    }
    std::erase_if(this->members, [transmissions](const auto& entry)
                  { return entry.second.transmissions >= transmissions; });
    return used;
}

} // namespace parsleytrack
