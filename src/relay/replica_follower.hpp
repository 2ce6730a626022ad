#pragma once

#include "feeds/record_feed.hpp"
#include "net/event_loop.hpp"
#include "relay/relay_adapter.hpp"
#include "relay/replica_limit.hpp"
#include "routing/replica_limits.hpp"
#include "routing/replica_registry.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace parsleytrack::relay
{

/// Keeps the list of replicas up to date from their entries in the platform's
/// store.
class replica_follower
{
public:
    replica_follower(net::event_loop& event_loop,
                     key_value::record_client& client,
                     wire::peer_network& network, peering::peer_group& nodes,
                     random_source& random_numbers,
                     const relay_adapter& protocol_adapter,
                     std::size_t max_direct_followers);

    /// \returns Whether the list of replicas is known.
    bool is_known() const { return this->follower.is_known(); }

    void start() { this->follower.start(); }

    const routing::replica_registry& registry() const { return this->replicas; }

    /// Marks a process of a replica as leaving because it said so, or because
    /// another replica responded at its address.
    ///
    /// \param reason How this became known, for the log.
    /// \returns Whether this was not known before.
    bool mark_leaving(const replica_process_id& process, const char* reason);

    /// Records what a replica's process has said of its limit.
    ///
    /// \param learned_from How this became known, for the log.
    /// \returns Whether the limit that holds has changed.
    bool observe_limit(const replica_process_id& process,
                       const routing::limit_observation& observation,
                       const char* learned_from);

    const routing::replica_limits& limits() const { return this->named_limits; }

    /// \returns What the listed process of a replica has last said of its
    /// limit; absent when it has never named one.
    std::optional<replica_limit> limit_of(const replica_id& replica) const;

    /// \returns How long ago the store last confirmed the list.
    duration age() const;

    /// \param callback Called after each change of the list or of a limit.
    void on_change(std::function<void()> callback);

private:
    void apply_listing(const key_value::record_listing& listing,
                       bool after_failure);
    void apply_change(const key_value::record_change& change);
    void expire();
    void notify_if_changed();

    net::event_loop& loop;
    const relay_adapter& adapter;
    feeds::record_feed follower;
    routing::replica_registry replicas;
    routing::replica_limits named_limits;
    std::vector<std::function<void()>> change_callbacks;
    net::timer expiry_timer;
    std::uint64_t notified_generation = 0;
};

} // namespace parsleytrack::relay
