#pragma once

#include "key_value/record_client.hpp"
#include "key_value/record_follower.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "relay/crash_memory.hpp"
#include "relay/origin_server.hpp"
#include "relay/relay_adapter.hpp"
#include "relay/storage_record.hpp"
#include "routing/replica_entry.hpp"
#include "settings/relay_settings.hpp"
#include "units/random_source.hpp"
#include "units/result.hpp"
#include "wire/peer_network.hpp"

#include <map>
#include <optional>
#include <string>

namespace parsleytrack::relay
{

/// A node with a disk. All durable data is in the platform's store, so the node
/// holds none and reports its retirement as completed as soon as it is
/// requested. It remembers for the other nodes, which may all be killed at
/// once, which software versions began their streams and which requests crash
/// replicas.
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
    /// Reads what this node has written before it was started again.
    void read_own_record();
    /// Writes the address of this node and the versions in use, if they have
    /// changed.
    void update_record();
    /// \returns The key of this node's record.
    std::string own_key() const;
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
    crash_memory crashes;
    std::map<replica_id, routing::replica_entry> replicas;
    key_value::record_follower replica_list;
    net::timer retry_timer;
    /// Runs while the record cannot be read, and then before each check.
    net::timer record_timer;
    std::optional<storage_record> written;
    bool is_writing = false;
    bool replica_list_known = false;
    bool record_is_read = false;
    bool reporting = false;
};

} // namespace parsleytrack::relay
