#pragma once

#include "decisions/member_table.hpp"
#include "decisions/membership_packet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace parsleytrack
{

/// Changes of member records that are still to be gossiped, each a limited
/// number of times. Those sent least often go first; among equals, the newest.
class update_queue
{
public:
    /// \param known The table that holds the records; outlives this object.
    explicit update_queue(const member_table& known);

    /// Queues the changed record of a node, replacing its earlier change.
    void add(const node_id& id);

    /// Adds queued records to a packet and counts them as sent.
    ///
    /// \param packet Receives the records.
    /// \param own This node's record, which the table does not hold.
    /// \param room Bytes left in the packet.
    /// \param transmissions How often each change is sent before it is removed
    /// from the queue.
    /// \returns Bytes used.
    std::size_t fill(membership_packet& packet, const member_record& own,
                     std::size_t room, int transmissions);

    /// \returns Whether no change is queued.
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
