#pragma once

#include "key_value/record_client.hpp"
#include "key_value/record_follower.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "relay/relay_adapter.hpp"
#include "settings/relay_settings.hpp"
#include "units/random_source.hpp"

namespace parsleytrack::relay
{

/// A node with a disk. All durable data is in the platform's store, so the node
/// holds none and reports its retirement as completed as soon as it is
/// requested.
class storage_node
{
public:
    /// \param node_settings The settings.
    /// \param protocol_adapter Outlives this object.
    storage_node(settings::relay_settings node_settings,
                 const relay_adapter& protocol_adapter);

    /// Runs until a signal stops it.
    void run();

private:
    void handle_record(const key_value::stored_record& record);
    void report_retirement_completed();

    settings::relay_settings settings;
    const relay_adapter& adapter;
    random_source random;
    net::event_loop loop;
    net::http_client http;
    key_value::record_client store;
    key_value::record_follower follower;
    net::timer retry_timer;
    bool reporting = false;
};

} // namespace parsleytrack::relay
