#pragma once

#include "allotments/allotment_client.hpp"
#include "key_value/record_client.hpp"
#include "metrics/registry.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "peering/peer_group.hpp"
#include "relay/configuration_follower.hpp"
#include "relay/crash_guard.hpp"
#include "relay/link_monitor.hpp"
#include "relay/relay_adapter.hpp"
#include "relay/replica_doubts.hpp"
#include "relay/replica_follower.hpp"
#include "relay/stream_origins.hpp"
#include "settings/relay_settings.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"
#include "workspaces/request_counts.hpp"

namespace parsleytrack::relay
{

/// Objects shared by the modules of a relay node. Outlives all of them.
struct relay_context
{
    const settings::relay_settings& settings;
    const relay_adapter& adapter;
    net::event_loop& loop;
    /// Sends requests to replicas.
    net::http_client& http;
    wire::peer_network& peers;
    peering::peer_group& group;
    key_value::record_client& store;
    configuration_follower& configuration;
    replica_follower& replicas;
    link_monitor& link;
    crash_guard& crashes;
    allotments::allotment_client& allotments;
    workspaces::request_counts& workspace_requests;
    replica_doubts& doubts;
    stream_origins& origins;
    metrics::registry& metrics;
    random_source& random;
};

} // namespace parsleytrack::relay
