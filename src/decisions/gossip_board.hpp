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

/// Small values that each node publishes to all nodes of its region. Only the
/// newest value per topic and node is kept; it may arrive late or not at all.
class gossip_board
{
public:
    /// Called with the publishing node and its new value.
    using callback = std::function<void(const node_id&, const std::string&)>;
    /// Sends a value of this node to the other nodes.
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
    /// \param first_version Versions count up from this one. It must be greater
    /// than any that an earlier process of this node used; for example, the
    /// wall clock in microseconds.
    gossip_board(node_id own, std::uint64_t first_version);

    /// Sets this node's value of a topic and sends it to the other nodes.
    ///
    /// \param topic A short name, since every packet with a value contains it.
    /// \param value At most about 1,000 bytes.
    void publish(const std::string& topic, const std::string& value);

    /// Registers a callback for new values of a topic, including this node's.
    void subscribe(const std::string& topic, callback callback);

    /// \returns Each node's newest value of a topic, including this node's.
    const std::map<node_id, entry>& latest(const std::string& topic) const;

    /// Stores a value that a node published, unless it is outdated.
    ///
    /// \returns Whether the value was newer than the stored one.
    bool receive(const node_id& from, const std::string& topic,
                 std::uint64_t version, const std::string& value);

    /// Publishes all values of this node again with versions above the given
    /// one, unless the next version is above it already. Needed when another
    /// node holds a value from an earlier process of this node whose clock was
    /// ahead.
    ///
    /// \param version The version that the other node holds.
    void republish_above(std::uint64_t version);

    /// Erases all values that a node has published.
    void erase_node(const node_id& node);

    /// \param send Called with each value that publish() sets.
    void set_sender(sender send);

    /// \returns The newest values by topic and node.
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
