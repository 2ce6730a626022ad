#pragma once

#include "decisions/gossip_board.hpp"
#include "decisions/membership_packet.hpp"
#include "units/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Tracks which of this node's gossip board values each other node has not been
/// sent yet. Every node sends its own values itself and only the newest ones,
/// so that a change costs one packet per receiver, however soon the next change
/// replaces it.
class board_outbox
{
public:
    /// Values are sent a second time if the allowance permits, since the first
    /// packet may have been lost.
    enum class pass
    {
        first,
        second
    };

    /// \param values The board; outlives this object.
    /// \param own This node.
    /// \param salt A random number, so that each node visits its peers in a
    /// different order. In a common order, member updates that share these
    /// packets would not reach some nodes.
    board_outbox(const gossip_board& values, node_id own, std::size_t salt);

    /// Records that this node has published a new value of a topic.
    void record_publish(const std::string& topic);

    /// Visits the peers in turn.
    ///
    /// \param peers The nodes that are not dead, in a fixed order.
    /// \param which The pass.
    /// \returns The next node that has not been sent all values in this pass.
    std::optional<node_id> next_peer(const std::vector<node_id>& peers,
                                     pass which);

    /// Adds values that have not been sent to a node to a packet for it.
    ///
    /// \param packet Receives the values.
    /// \param peer The node.
    /// \param room Bytes left in the packet.
    /// \returns Bytes used.
    std::size_t fill(membership_packet& packet, const node_id& peer,
                     std::size_t room);

    /// Discards the record of what a node was sent, so that it is sent all
    /// values again.
    void reset_peer(const node_id& peer) { this->sent.erase(peer); }

private:
    /// The newest version that was sent to a peer, for each pass.
    using sent_versions = std::array<std::uint64_t, 2>;

    std::vector<board_item> own_items_after(std::uint64_t version) const;

    const gossip_board& board;
    node_id own_id;
    std::uint64_t newest_version = 0;
    std::map<node_id, sent_versions> sent;
    std::size_t salt;
    std::size_t turn;
};

} // namespace parsleytrack
