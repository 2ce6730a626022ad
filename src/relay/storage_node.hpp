#pragma once

#include "key_value/record_client.hpp"
#include "key_value/record_follower.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "relay/origin_server.hpp"
#include "relay/relay_adapter.hpp"
#include "routing/replica_entry.hpp"
#include "settings/relay_settings.hpp"
#include "units/random_source.hpp"
#include "units/result.hpp"
#include "wire/peer_network.hpp"

#include <map>

namespace parsleytrack::relay
{

/// A node with a disk. All durable data is in the platform's store, so the node
/// holds none and reports its retirement as completed as soon as it is
/// requested. It remembers which software versions began the streams of the
/// other nodes, which may all be killed at once.
class storage_node
{
public:
    /// \param node_settings The settings.
    /// \param protocol_adapter Outlives this object.
    storage_node(settings::relay_settings node_settings,
                 const relay_adapter& protocol_adapter);

    /// Opens the port for other nodes.
    ///
    /// \returns True, or the reason why the port cannot be opened.
    result<bool> start();

    /// Runs until a signal stops it.
    void run();

private:
    void handle_record(const key_value::stored_record& record);
    void report_retirement_completed();
    /// Tells the other nodes the address of this one.
    void announce();
    void apply_listing(const key_value::record_listing& listing);
    void apply_change(const key_value::record_change& change);

    settings::relay_settings settings;
    const relay_adapter& adapter;
    random_source random;
    net::event_loop loop;
    net::http_client http;
    key_value::record_client store;
    key_value::record_follower follower;
    wire::peer_network peers;
    origin_server origins;
    std::map<replica_id, routing::replica_entry> replicas;
    key_value::record_follower replica_list;
    net::timer retry_timer;
    net::timer announcement_timer;
    bool reporting = false;
};

} // namespace parsleytrack::relay
