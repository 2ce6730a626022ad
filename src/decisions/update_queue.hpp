#pragma once

#include "decisions/member_table.hpp"
#include "decisions/membership_packet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace parsleytrack
{

/// Changes of members that are still to be passed on, each a bounded number
/// of times. What has been sent least often goes first, and the newest among
/// those.
class update_queue
{
public:
    /// \param known Where the records are looked up; outlives this object.
    explicit update_queue(const member_table& known);

    /// A node's record has changed.
    void add(const node_id& id);

    /// Adds news to a packet.
    ///
    /// \param packet Takes the news.
    /// \param own This node's own record, for news about itself.
    /// \param room Bytes left in the packet.
    /// \param transmissions How often each piece is to be passed on.
    /// \returns Bytes used.
    std::size_t fill(membership_packet& packet, const member_record& own,
                     std::size_t room, int transmissions);

    /// \returns Whether there is nothing to pass on.
    bool empty() const { return this->members.empty(); }

private:
    struct progress
    {
        int transmissions = 0;
        std::uint64_t order = 0;
    };

    const member_table& table;
    std::map<node_id, progress> members;
    std::uint64_t next_order = 0;
};

} // namespace parsleytrack
