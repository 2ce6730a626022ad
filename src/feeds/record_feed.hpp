#pragma once

#include "feeds/feed_message.hpp"
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

/// Keeps up with all keys of a prefix. In a large group only a few nodes ask
/// the store; the others follow two of these and ask the store themselves as
/// soon as neither is well, so that the store's load does not grow with the
/// group and a node that the store turns away still learns of changes.
class record_feed
{
public:
    /// \param event_loop Outlives this object, as do the other references.
    /// \param key_prefix Which keys; the same on all nodes.
    /// \param pause_after_changes How long changes are collected before the
    /// store is asked for the next ones.
    /// \param max_direct_followers Up to so many nodes all ask the store
    /// themselves. \param listener What is told; see record_follower.
    record_feed(net::event_loop& event_loop, key_value::record_client& client,
                wire::peer_network& network, peering::peer_group& nodes,
                random_source& random_numbers, std::string key_prefix,
                duration pause_after_changes, std::size_t max_direct_followers,
                key_value::record_follower::callbacks listener);

    void start();

    /// \returns When the store, or a node that follows it, last confirmed what
    /// is known.
    time_point confirmed_at() const;

private:
    struct subscription
    {
        std::unique_ptr<wire::peer_call> call;
        /// It has sent all records, and reaches the store.
        bool healthy = false;
    };

    void choose_sources();
    void tick();
    void subscribe(const node_info& source);
    void handle_message(const node_id& source, const std::string& bytes);
    void end_subscription(const node_id& source, const std::string& reason);
    bool has_healthy_source() const;
    void handle_request(const std::shared_ptr<wire::peer_exchange>& exchange);
    void apply_listing(const key_value::record_listing& listing,
                       bool after_failure);
    void apply_changes(const std::vector<key_value::record_change>& changes);
    /// Tells the listener that what it knows holds again.
    void recover();
    void handle_failure(const error& reason);
    void log_source(const char* event, const std::string& source,
                    const std::string& reason) const;

    net::event_loop& loop;
    wire::peer_network& peers;
    peering::peer_group& group;
    std::string prefix;
    std::size_t max_direct_followers;
    key_value::record_follower::callbacks hooks;
    merged_records records;
    key_value::record_follower own_follower;
    feed_publisher publisher;
    /// Sources that this node follows; empty when it asks the store itself.
    std::vector<node_info> sources;
    std::map<node_id, subscription> subscriptions;
    /// Since when a source has been well without a break.
    time_point healthy_since;
    time_point last_message_at;
    /// The listener was told that what it knows may be out of date.
    bool failing = false;
    /// A source has said that it does not reach the store.
    bool source_failed = false;
    /// When sources that could not be followed are tried again.
    std::map<node_id, time_point> retry_at;
    net::timer tick_timer;
};

} // namespace parsleytrack::feeds
