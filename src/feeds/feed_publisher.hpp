#pragma once

#include "feeds/feed_message.hpp"
#include "wire/peer_exchange.hpp"

#include <list>
#include <memory>

namespace parsleytrack::feeds
{

/// The nodes that follow the store's records through this one.
class feed_publisher
{
public:
    /// Takes a node in and sends it a first message.
    void add(const std::shared_ptr<wire::peer_exchange>& exchange,
             const feed_message& first);

    /// Sends a message to all. A node that does not read is let go.
    void send(const feed_message& message);

    /// Lets all go; they turn to other sources.
    void close();

    std::size_t size() const { return this->subscribers.size(); }

private:
    std::list<std::shared_ptr<wire::peer_exchange>> subscribers;
};

} // namespace parsleytrack::feeds
