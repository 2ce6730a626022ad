#pragma once

#include "feeds/feed_message.hpp"
#include "feeds/feed_options.hpp"
#include "feeds/feed_publisher.hpp"
#include "feeds/feed_subscription.hpp"
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
/// as soon as neither is healthy: each message says how long ago the store has
/// confirmed the records, and this age has one bound, whatever it grows by. The
/// store's load thus does not grow with the group. A node that the store
/// rejects still receives changes, and one that starts while the store is away
/// begins with the records that others know.
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

    /// \returns The time up to which the store has confirmed the records, to
    /// this node or to a source.
    time_point confirmed_at() const;

    /// \returns Where the last records came from: "store", or the id of another
    /// node.
    const std::string& learned_from() const { return this->origin; }

private:
    struct subscription
    {
        std::unique_ptr<wire::peer_call> call;
        feed_subscription state;
    };

    void choose_sources();
    void tick();
    void subscribe_to_sources();
    void subscribe(const node_info& source);
    void handle_message(const node_id& source, const std::string& bytes);
    /// Notes a confirmation of the store, or of a source.
    void handle_confirmation();
    /// Falls back to the store when the last confirmation is too old.
    void check_confirmation();
    /// \returns How long ago the store confirmed the records.
    duration age() const;
    /// \returns Whether the last confirmation is so recent that other nodes may
    /// rely on the records.
    bool is_confirmed() const;
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
    /// Sends a message to the subscribers, with the age of the records.
    void publish(feed_message message);
    void publish_heartbeat();
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
    std::string origin;
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
    /// The latest confirmation of a source.
    time_point learned_confirmation;
    /// When the last message to subscribers was sent.
    time_point last_published;
    /// The listener was notified that the records may be out of date.
    bool failing = false;
    /// A source has reported that it cannot reach the store.
    bool source_failed = false;
    /// Earliest time of the next subscription to a source that was lost.
    std::map<node_id, time_point> retry_at;
    net::timer tick_timer;
    /// Runs out when the last confirmation is too old.
    net::timer confirmation_timer;
    net::timer fallback_timer;
    bool fallback_pending = false;
    net::timer grace_timer;
};

} // namespace parsleytrack::feeds
