#pragma once

#include "backends/engine_order_client.hpp"
#include "daemon/directory_module.hpp"
#include "daemon/leased_key.hpp"
#include "daemon/load_slots.hpp"
#include "daemon/node_context.hpp"
#include "decisions/engine_reconciler.hpp"

#include <memory>
#include <string>

namespace parsleytrack
{

/// Gives orders to one engine.
class engine_orders
{
public:
    /// \param node What the modules share.
    /// \param directory Is told when the engine is leaving.
    /// \param slots The node's slots of the load budget.
    /// \param replica The engine.
    /// \param checks_fencing Whether the settings say that it refuses orders
    /// with an old number.
    engine_orders(node_context& node, directory_module& directory,
                  load_slots& slots, replica_info replica, bool checks_fencing);
    ~engine_orders();
    engine_orders(const engine_orders&) = delete;
    engine_orders& operator=(const engine_orders&) = delete;

    /// Does what is due.
    ///
    /// \param is_gate Whether this node is the engine's gate.
    void tick(bool is_gate);

    const replica_info& replica() const { return this->engine; }
    const engine_reconciler& decisions() const { return this->reconciler; }

private:
    void read_state();
    void handle_state(const result<engine_state>& end, time_point asked_at);
    void send(const engine_order& order);
    void handle_answer(const result<backends::order_answer>& end);
    void update_lease(bool needed);
    void note_wait(std::string_view reason);
    void count_order(const char* outcome);

    node_context& context;
    directory_module& replicas;
    load_slots& weight_slots;
    replica_info engine;
    backends::engine_order_client client;
    engine_reconciler reconciler;
    leased_key lease;
    time_point next_lease_try;
    std::string last_wait;
    std::unique_ptr<net::http_call> state_call;
    std::unique_ptr<net::http_call> order_call;
};

} // namespace parsleytrack
