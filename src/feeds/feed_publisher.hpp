#pragma once

#include "feeds/feed_message.hpp"
#include "wire/peer_exchange.hpp"

#include <list>
#include <memory>

namespace parsleytrack::feeds
{

/// Publishes this node's copy of the store's records to subscribed nodes.
class feed_publisher
{
public:
    /// Adds a subscriber and sends it a first message.
    void add(const std::shared_ptr<wire::peer_exchange>& exchange,
             const feed_message& first);

    /// Sends a message to all subscribers. Disconnects those that do not read.
    void send(const feed_message& message);

    /// Disconnects all subscribers; they switch to other sources.
    void close();

    std::size_t size() const { return this->subscribers.size(); }

private:
    std::list<std::shared_ptr<wire::peer_exchange>> subscribers;
};

} // namespace parsleytrack::feeds
