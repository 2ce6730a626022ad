#pragma once

#include "daemon/engine_orders.hpp"
#include "daemon/load_slots.hpp"
#include "daemon/node_context.hpp"
#include "daemon/release_status.hpp"

#include <functional>
#include <map>
#include <memory>

namespace parsleytrack
{

/// Brings the engines behind this node's gates into line with the release.
class order_module
{
public:
    /// \param node What the modules share.
    /// \param directory Is told of engines that are leaving.
    order_module(node_context& node, directory_module& directory);
    ~order_module();

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    void tick();
    bool is_gate_of(const replica_id& replica) const;
    void add_engines();
    void remove_engines();
    wire::release_progress_reply progress() const;

    node_context& context;
    directory_module& replicas;
    load_slots slots;
    std::map<replica_id, std::unique_ptr<engine_orders>> engines;
    release_status status;
    net::timer tick_timer;
};

} // namespace parsleytrack
