#pragma once

#include "daemon/node_context.hpp"
#include "daemon/region_bridge.hpp"
#include "daemon/seed_keeper.hpp"
#include "decisions/membership.hpp"
#include "net/http_server.hpp"
#include "net/timer.hpp"
#include "peering/membership_driver.hpp"

#include <functional>

namespace parsleytrack
{

/// Keeps the view of the other nodes and spreads the gossip board.
class membership_module
{
public:
    /// \param node Outlives this object.
    /// \param http_server Is told when callers are to let go of their
    /// connections; outlives this object.
    membership_module(node_context& node, net::http_server& http_server);

    /// Announces a planned stop and waits until callers have let go of this
    /// node's address.
    ///
    /// \param done Called once no new callers are to be expected.
    void drain(std::function<void()> done);

    /// \returns What is known of the regions.
    const region_table& regions() const { return this->bridge.regions(); }

    /// Tells the others that this node is gone; the last step of a stop.
    void leave();

private:
    void update_fleet();
    void update_gauges();

    node_context& context;
    net::http_server& server;
    membership members;
    seed_keeper seeds;
    region_bridge bridge;
    peering::membership_driver driver;
    net::timer gauge_timer;
    net::timer close_timer;
    net::timer drain_timer;
};

} // namespace parsleytrack
