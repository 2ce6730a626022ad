#pragma once

#include "metrics/registry.hpp"
#include "net/event_loop.hpp"
#include "peering/peer_group.hpp"
#include "settings/allotment_settings.hpp"
#include "units/random_source.hpp"
#include "wire/peer_network.hpp"

namespace parsleytrack::allotments
{

/// What an allotment_client uses of its node; outlives it.
struct allotment_services
{
    const settings::allotment_settings& settings;
    net::event_loop& loop;
    wire::peer_network& peers;
    peering::peer_group& group;
    metrics::registry& metrics;
    random_source& random;
};

} // namespace parsleytrack::allotments
