#pragma once

#include "key_value/record_client.hpp"
#include "net/event_loop.hpp"
#include "relay/origin_memory.hpp"
#include "relay/origin_messages.hpp"
#include "relay/relay_adapter.hpp"
#include "relay/replica_follower.hpp"
#include "relay/storage_directory.hpp"
#include "routing/version_history.hpp"
#include "units/result.hpp"
#include "wire/peer_network.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace parsleytrack::relay
{

/// Remembers which software version began a stream. While a service has
/// replicas of several versions, the storage nodes are told as well, since they
/// survive when all nodes that callers use are killed at once.
class stream_origins
{
public:
    using origins_callback =
        std::function<void(result<std::vector<stream_origin>>)>;

    /// \param event_loop Outlives this object, as do the other references.
    stream_origins(net::event_loop& event_loop, wire::peer_network& network,
                   key_value::record_client& client,
                   const relay_adapter& protocol_adapter,
                   replica_follower& replica_list,
                   storage_directory& storage_nodes);

    /// Records what a stream has been sent to, before its first event.
    ///
    /// \param request The caller's attempt that began the stream.
    /// \param keep How much longer the stream may be taken up.
    /// \param has_alternatives Whether the route names several services.
    void record(const request_id& request, const stream_origin& origin,
                duration keep, bool has_alternatives);

    /// \returns What began a stream, if this node knows it.
    std::optional<stream_origin> find(const request_id& request) const;

    /// \returns What this node knows of what may have begun a stream.
    origin_reply own_view(const origin_inquiry& inquiry) const;

    /// \returns Whether the storage nodes are known.
    bool knows_storage_nodes() const { return this->storage.is_known(); }

    /// Asks all storage nodes.
    ///
    /// \param callback Called once for each node that is asked.
    /// \returns The calls; destroying them cancels them.
    std::vector<std::unique_ptr<wire::peer_call>>
    ask(const origin_inquiry& inquiry,
        const std::function<void(result<origin_reply>)>& callback);

    /// Reads from the store what the services run now. What a node has followed
    /// may be out of date without its knowledge.
    ///
    /// \param callback Called once, with the versions of these services or the
    /// reason why they cannot be read.
    void read_current(std::vector<service_name> services,
                      origins_callback callback);

private:
    using notice = std::vector<origin_memory::entry>;

    struct reader
    {
        std::vector<service_name> services;
        origins_callback callback;
    };

    void start_reading();
    void finish_reading(const std::vector<reader>& readers,
                        const result<key_value::record_listing>& listing);
    bool has_several_versions(const service_name& service) const;
    /// Tells the storage nodes of the known streams of services that have
    /// several versions now and had one before.
    void handle_replica_change();
    /// \returns The known streams that storage nodes must know.
    notice shared_origins() const;
    void flush();
    void send(const endpoint& node, const notice& origins);

    net::event_loop& loop;
    wire::peer_network& peers;
    key_value::record_client& store;
    const relay_adapter& adapter;
    replica_follower& replicas;
    storage_directory& storage;
    routing::version_history history;
    origin_memory memory;
    /// Services that have or had several versions.
    std::set<service_name> shared_services;
    notice unsent;
    net::timer flush_timer;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_call>> calls;
    /// Storage nodes whose last call has failed, and when all that they may
    /// have missed is sent.
    std::map<endpoint, net::timer> resend_timers;
    std::uint64_t next_call = 1;
    /// Those who wait for the next read of the store; a read that is under way
    /// may miss what they need to know.
    std::vector<reader> waiting_readers;
    bool is_reading = false;
};

} // namespace parsleytrack::relay
