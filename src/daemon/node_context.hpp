#pragma once

#include "decisions/catalogue_view.hpp"
#include "decisions/fleet_view.hpp"
#include "decisions/gossip_board.hpp"
#include "key_value/etcd_store.hpp"
#include "metrics/registry.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_router.hpp"
#include "settings/node_settings.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"

namespace parsleytrack
{

/// The store that this build of the daemon speaks to.
using store_client = key_value::etcd_store;

/// What the modules of a daemon share. It outlives all of them.
struct node_context
{
    const settings::node_settings& settings;
    net::event_loop& loop;
    net::http_client& http;
    wire::peer_network& peers;
    store_client& store;
    metrics::registry& metrics;
    http_router& router;
    fleet_view& fleet;
    gossip_board& board;
    catalogue_view& catalogue;
    random_source& random;
};

} // namespace parsleytrack
