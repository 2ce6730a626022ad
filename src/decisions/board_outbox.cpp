#include "decisions/board_outbox.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace parsleytrack
{

namespace
{

/// \returns A stride coprime to count, which visits all positions before it
/// repeats one.
std::size_t stride_for(std::size_t count, std::size_t salt)
{
    std::size_t stride = 1 + salt % count;
    while (std::gcd(stride, count) != 1)
    {
        ++stride;
    }
    return stride;
}

} // namespace

board_outbox::board_outbox(const gossip_board& values, node_id own,
                           std::size_t random_salt)
    : board(values), own_id(std::move(own)), salt(random_salt),
      turn(random_salt)
{
}

void board_outbox::record_publish(const std::string& topic)
{
    const auto& values = this->board.latest(topic);
    const auto found = values.find(this->own_id);
    if (found != values.end())
    {
        this->newest_version =
            std::max(this->newest_version, found->second.version);
    }
}

std::optional<node_id>
board_outbox::next_peer(const std::vector<node_id>& peers, pass which)
{
    const std::size_t stride =
        peers.empty() ? 1 : stride_for(peers.size(), this->salt);
    for (std::size_t step = 0; step < peers.size(); ++step)
    {
        this->turn = (this->turn + stride) % peers.size();
        const node_id& peer = peers[this->turn];
        if (this->sent[peer][static_cast<std::size_t>(which)] <
            this->newest_version)
        {
            return peer;
        }
    }
    return std::nullopt;
}

std::size_t board_outbox::fill(membership_packet& packet, const node_id& peer,
                               std::size_t room)
{
    auto& [first, second] = this->sent[peer];
    const bool second_pass = first >= this->newest_version;
    std::uint64_t& version = second_pass ? second : first;
    std::size_t used = 0;
    for (board_item& item : this->own_items_after(version))
    {
        const std::size_t size = encoded_size_bound(item);
        const bool packet_is_empty = used == 0 && packet.members.empty();
        if (used + size > room && !packet_is_empty)
        {
            return used;
        }
        // A value too large for any packet is skipped; only full exchanges
        // carry it.
        version = item.version;
        if (used + size <= room)
        {
            packet.items.push_back(std::move(item));
            used += size;
        }
    }
    version = this->newest_version;
    return used;
}

std::vector<board_item>
board_outbox::own_items_after(std::uint64_t version) const
{
    std::vector<board_item> items;
    for (const auto& [topic, values] : this->board.all())
    {
        const auto found = values.find(this->own_id);
        if (found != values.end() && found->second.version > version)
        {
            items.push_back(board_item{topic, this->own_id,
                                       found->second.version,
                                       found->second.value});
        }
    }
    std::sort(items.begin(), items.end(),
              [](const board_item& left, const board_item& right)
              { return left.version < right.version; });
    return items;
}

} // namespace parsleytrack
