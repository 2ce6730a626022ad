#pragma once

#include "feeds/record_feed.hpp"
#include "relay/relay_adapter.hpp"
#include "routing/route_table.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace parsleytrack::relay
{

/// Keeps the newest configuration from the platform's store. Its version never
/// decreases while the process runs.
class configuration_follower
{
public:
    /// \param event_loop Outlives this object, as do the other references.
    /// \param max_direct_followers See feeds::feed_options.
    configuration_follower(net::event_loop& event_loop,
                           key_value::record_client& client,
                           wire::peer_network& network,
                           peering::peer_group& nodes,
                           random_source& random_numbers,
                           const relay_adapter& protocol_adapter,
                           std::size_t max_direct_followers);

    void start() { this->follower.start(); }

    /// \returns The current routes; null before the first configuration.
    std::shared_ptr<const routing::route_table> current() const
    {
        return this->table;
    }

    /// \returns How long ago the store, directly or through another node, last
    /// confirmed the configuration.
    duration age() const;

    /// \param callback Called after each change.
    void on_change(std::function<void()> callback);

private:
    void apply_record(const key_value::stored_record& record);

    const relay_adapter& adapter;
    feeds::record_feed follower;
    std::shared_ptr<const routing::route_table> table;
    std::vector<std::function<void()>> change_callbacks;
};

} // namespace parsleytrack::relay
