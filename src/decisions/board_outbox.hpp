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

/// Which of this node's values of the gossip board each other node has still
/// to be sent. Each node sends its own values itself, always the
/// newest, so that a change costs one packet for each receiver however
/// fast it is overtaken by the next.
class board_outbox
{
public:
    /// Values are sent a second time where there is room, since the first
    /// packet may have been lost.
    enum class pass
    {
        first,
        second
    };

    /// \param values The board; outlives this object.
    /// \param own This node.
    /// \param salt Random, so that each node takes its turns in another order:
    /// news that rides on these packets would otherwise pass some nodes by.
    board_outbox(const gossip_board& values, node_id own, std::size_t salt);

    /// Notes that this node has published.
    void record_publish(const std::string& topic);

    /// \param peers The nodes that are present, in a fixed order.
    /// \param which The pass.
    /// \returns The next node, by turns, that lacks a value.
    std::optional<node_id> next_peer(const std::vector<node_id>& peers,
                                     pass which);

    /// Adds the values that a node lacks to a packet for it.
    ///
    /// \param packet Takes the values.
    /// \param peer The node.
    /// \param room Bytes left in the packet.
    /// \returns Bytes used.
    std::size_t fill(membership_packet& packet, const node_id& peer,
                     std::size_t room);

    /// Forgets what a node was sent, so that it is sent everything again.
    void reset_peer(const node_id& peer) { this->sent.erase(peer); }

private:
    /// The newest version that was sent, for each pass.
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
