#pragma once

#include "feeds/feed_message.hpp"
#include "feeds/feed_options.hpp"
#include "feeds/feed_publisher.hpp"
#include "feeds/merged_records.hpp"
#include "key_value/record_client.hpp"
#include "key_value/record_follower.hpp"
#include "net/event_loop.hpp"
#include "peering/peer_group.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::feeds
{

/// Follows all keys of a prefix. In a large group only a few nodes read from
/// the store. The others subscribe to two of these and fall back to the store
/// as soon as neither is healthy. The store's load thus does not grow with the
/// group. A node that the store rejects still receives changes, and one that
/// starts while the store is away begins with the records that others know.
class record_feed
{
public:
    /// \param event_loop Outlives this object, as do the other references.
    /// \param chosen What to follow.
    /// \param listener See record_follower.
    record_feed(net::event_loop& event_loop, key_value::record_client& client,
                wire::peer_network& network, peering::peer_group& nodes,
                random_source& random_numbers, feed_options chosen,
                key_value::record_follower::callbacks listener);

    void start();

    /// \returns Whether the records are known, possibly from another node.
    bool is_known() const
    {
        return this->records.position() > store_revision();
    }

    /// \returns The time at which the store, or a source, last confirmed the
    /// records.
    time_point confirmed_at() const;

private:
    struct subscription
    {
        std::unique_ptr<wire::peer_call> call;
        /// This node has all records of the source, which can reach the store.
        bool healthy = false;
    };

    void choose_sources();
    void tick();
    void subscribe(const node_info& source);
    void handle_message(const node_id& source, const std::string& bytes);
    /// \returns Whether neither the store nor a source confirms the records.
    bool lacks_store_and_sources() const;
    /// Asks a node drawn at random for newer records while nothing else
    /// confirms them.
    void ask_another_node();
    void handle_reply(const node_id& from, const std::string& bytes);
    /// Falls back to the store unless a source is healthy by then.
    void follow_store_soon();
    void end_subscription(const node_id& source, const std::string& reason);
    bool has_healthy_source() const;
    feed_message all_records(feed_message::kind what) const;
    void handle_request(const std::shared_ptr<wire::peer_exchange>& exchange);
    void apply_listing(const key_value::record_listing& listing,
                       bool after_failure);
    void apply_changes(const std::vector<key_value::record_change>& changes);
    /// Notifies the listener that the records are valid again.
    void recover();
    void handle_failure(const error& reason);
    void notify_failure(const error& reason);
    void log_source(const char* event, const std::string& source,
                    const std::string& reason) const;

    net::event_loop& loop;
    wire::peer_network& peers;
    peering::peer_group& group;
    random_source& random;
    feed_options options;
    key_value::record_follower::callbacks hooks;
    merged_records records;
    key_value::record_follower own_follower;
    feed_publisher publisher;
    /// Sources that this node follows; empty when it reads from the store
    /// directly.
    std::vector<node_info> sources;
    std::map<node_id, subscription> subscriptions;
    /// The call of ask_another_node().
    std::unique_ptr<wire::peer_call> question;
    /// Start of the current period with at least one healthy source.
    time_point healthy_since;
    time_point last_message_at;
    /// The listener was notified that the records may be out of date.
    bool failing = false;
    /// A source has reported that it cannot reach the store.
    bool source_failed = false;
    /// Earliest time of the next subscription to a source that was lost.
    std::map<node_id, time_point> retry_at;
    net::timer tick_timer;
    net::timer fallback_timer;
    net::timer grace_timer;
};

} // namespace parsleytrack::feeds
