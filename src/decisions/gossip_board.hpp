#pragma once

#include "units/ids.hpp"
#include "units/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Small facts that each node tells all others of its region. Only the newest
/// value of a topic is kept for each node; it may arrive late or not at all.
class gossip_board
{
public:
    /// Gets the node that published and its new value.
    using callback = std::function<void(const node_id&, const std::string&)>;
    /// Spreads a value of this node; set by the membership.
    using sender =
        std::function<void(const std::string& topic, std::uint64_t version,
                           const std::string& value)>;

    /// One node's newest value of a topic.
    struct entry
    {
        std::uint64_t version = 0;
        std::string value;
    };

    /// \param own The node that publishes here.
    /// \param first_version Versions count up from here; to be larger than any
    /// that an earlier process of this node used, such as the wall clock's
    /// microseconds.
    gossip_board(node_id own, std::uint64_t first_version);

    /// Sets this node's value of a topic and has it spread.
    ///
    /// \param topic A short name; costs its length in every packet.
    /// \param value At most about 1,000 bytes.
    void publish(const std::string& topic, const std::string& value);

    /// \param topic Which values the callback gets.
    void subscribe(const std::string& topic, callback callback);

    /// \returns Each node's newest value of a topic, this node's included.
    const std::map<node_id, entry>& latest(const std::string& topic) const;

    /// Takes in a value that another node published.
    ///
    /// \returns Whether it was news.
    bool receive(const node_id& from, const std::string& topic,
                 std::uint64_t version, const std::string& value);

    /// Another node holds a value of this node from an earlier process, whose
    /// clock was ahead: publishes everything again with higher versions.
    ///
    /// \param version The version that it holds.
    void republish_above(std::uint64_t version);

    /// Forgets what a node that is gone has published.
    void erase_node(const node_id& node);

    /// \param send Called for each publish().
    void set_sender(sender send);

    /// \returns All topics with their entries.
    const std::map<std::string, std::map<node_id, entry>>& all() const
    {
        return this->topics;
    }

private:
    node_id own_id;
    std::uint64_t next_version;
    std::map<std::string, std::map<node_id, entry>> topics;
    std::map<std::string, std::vector<callback>> callbacks;
    sender send_value;
};

} // namespace parsleytrack
